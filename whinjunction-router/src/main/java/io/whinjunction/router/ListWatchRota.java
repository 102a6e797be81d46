package io.whinjunction.router;

import java.util.random.RandomGenerator;

/**
 * Which routers wait at the store for changes of the list of upstreams.
 * <p>
 * The load it answers: engines come, go and load layers all the time, and each change
 * ends the watch of everybody who waits for it. With all of a large fleet waiting, the
 * calls grow with routers times changes; a few that wait and tell the others bring the
 * same news sooner.
 * <p>
 * A router that isn't told in time that its list is still the newest waits at the store
 * itself, so that losing all who waited, or being cut off from them, delays news but
 * never loses it. Confined to one thread.
 */
final class ListWatchRota {

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

	private final long staleMs;

	private final long spreadMs;

	private final RandomGenerator random;

	/**
	 * A rota.
	 * @param drainMs how long an upstream that leaves still serves, in milliseconds
	 * @param random the source of chance
	 */
	ListWatchRota(long drainMs, RandomGenerator random) {
		this.staleMs = Math.max(1, (long) (STALE_PART * drainMs));
		this.spreadMs = Math.max(1, (long) (SPREAD_PART * drainMs));
		this.random = random;
	}

	/**
	 * What a router does whose watch has ended.
	 * @param others how many others wait at the store, as far as is known
	 * @return whether it waits there again
	 */
	boolean goesOn(double others) {
		return this.random.nextDouble() * (1 + others) < WANTED;
	}

	/**
	 * What a router does that doesn't wait at the store.
	 * @param ageMs how long ago its list was the newest for certain, in milliseconds
	 * @return after how many milliseconds it has to look again; 0 where it has to wait at
	 * the store now
	 */
	long pauseMs(long ageMs) {
		return (ageMs >= this.staleMs) ? 0 : this.staleMs - ageMs + this.random.nextLong(this.spreadMs);
	}

}
