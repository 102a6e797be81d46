package io.whinjunction.router;

import java.util.random.RandomGenerator;

/**
 * Which routers wait at the store for changes of the list of upstreams, and when each of
 * them looks whether its list is still the newest.
 * <p>
 * The load it answers: engines come, go and load layers all the time, and each change
 * ends the watch of everybody who waits for it. With all of a large fleet waiting, the
 * calls grow with routers times changes; a few that wait and tell the others bring the
 * same news sooner.
 * <p>
 * A router that isn't told in time that its list is still the newest looks for itself, so
 * that losing all who waited, or being cut off from them, delays news but never loses it.
 * Those that wait look sooner, and tell the others before those do. Confined to one
 * thread.
 */
final class ListWatchRotation {

	/**
	 * How many routers wait on average: some of them may be dead, frozen or on a
	 * connection that went silent without their noticing.
	 */
	private static final int WANTED = 4;

	/**
	 * After which part of the time for which a leaving upstream still serves a list that
	 * nobody has confirmed is looked after: the rest is for the call itself and for a
	 * store that is slow.
	 */
	private static final double STALE_PART = 0.4;

	/** What is added by chance, as a part of the same time, so that few begin at once. */
	private static final double SPREAD_PART = 0.1;

	/**
	 * The same for routers that wait at the store. All routers of a fleet are proved by
	 * the same look and grow old together.
	 */
	private static final double FORERUNNER_STALE_PART = 0.2;

	/** What is added for these: long enough for the first proof to reach the others. */
	private static final double FORERUNNER_SPREAD_PART = 0.2;

	private final long drainMs;

	private final RandomGenerator random;

	/**
	 * A rota.
	 * @param drainMs how long an upstream that leaves still serves, in milliseconds
	 * @param random the source of chance
	 */
	ListWatchRotation(long drainMs, RandomGenerator random) {
		this.drainMs = drainMs;
		this.random = random;
	}

	/**
	 * Whether a fleet has routers that don't wait at the store.
	 * @param routers how many routers there are
	 * @return {@code false} where running ahead of the others would only mean to call
	 * twice as often
	 */
	static boolean leavesFollowers(int routers) {
		return routers > WANTED;
	}

	/**
	 * What a router does that has just heard from the store.
	 * @param others how many others wait at the store, as far as is known
	 * @return whether it waits there
	 */
	boolean shouldWatch(double others) {
		return this.random.nextDouble() * (1 + others) < WANTED;
	}

	/**
	 * When a router looks whether its list is still the newest.
	 * @param ageMs how long ago its list was the newest for certain, in milliseconds
	 * @param waits whether it waits at the store
	 * @return after how many milliseconds it has to think again; 0 where it has to look
	 * now
	 */
	long pollDelayMs(long ageMs, boolean waits) {
		long staleMs = part(waits ? FORERUNNER_STALE_PART : STALE_PART);
		long spreadMs = part(waits ? FORERUNNER_SPREAD_PART : SPREAD_PART);
		return (ageMs >= staleMs) ? 0 : staleMs - ageMs + this.random.nextLong(spreadMs);
	}

	private long part(double part) {
		return Math.max(1, (long) (part * this.drainMs));
	}

}
