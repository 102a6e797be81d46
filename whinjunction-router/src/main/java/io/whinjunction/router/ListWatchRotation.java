package io.whinjunction.router;

import java.util.random.RandomGenerator;

/**
 * Decides which routers watch the store for changes of the list of upstreams, and when
 * each router polls the store to confirm that its list is still the newest.
 * <p>
 * Load pattern: engines start, stop and load layers all the time, and each change
 * completes the watch of every router that watches. If all routers of a large fleet did,
 * the number of calls would grow with routers times changes. A few watchers that notify
 * their peers distribute the same updates sooner.
 * <p>
 * A router polls the store itself if no peer confirms its list in time. Losing all
 * watchers, or being cut off from them, therefore delays an update but never loses it.
 * Watchers poll sooner than the rest, so that their confirmation reaches the others
 * before these poll. Confined to one thread.
 */
final class ListWatchRotation {

	/**
	 * The average number of watchers. More than one, since some may be dead, frozen or on
	 * a connection that stalled without their noticing.
	 */
	private static final int TARGET_WATCHERS = 4;

	/**
	 * Ratio of the drain time (for which a leaving upstream still serves) after which a
	 * router polls the store for a list that nobody has confirmed. The rest of the drain
	 * time is left for the call itself and for a slow store.
	 */
	private static final double STALE_RATIO = 0.4;

	/** Random jitter as a ratio of the drain time, so that few routers poll at once. */
	private static final double JITTER_RATIO = 0.1;

	/**
	 * The counterpart of {@link #STALE_RATIO} for watchers. The same poll confirms the
	 * lists of all routers of a fleet, which therefore become stale together.
	 */
	private static final double WATCHER_STALE_RATIO = 0.2;

	/**
	 * Jitter of watchers: long enough for the first confirmation to reach the other
	 * routers.
	 */
	private static final double WATCHER_JITTER_RATIO = 0.2;

	private final long drainMs;

	private final RandomGenerator random;

	/**
	 * Creates a rotation.
	 * @param drainMs how long a leaving upstream still serves, in milliseconds
	 * @param random the source of randomness
	 */
	ListWatchRotation(long drainMs, RandomGenerator random) {
		this.drainMs = drainMs;
		this.random = random;
	}

	/**
	 * Returns whether a fleet has routers that do not watch the store.
	 * @param routers the number of routers in the fleet
	 * @return {@code false} where polling sooner than the others would only double the
	 * number of calls
	 */
	static boolean leavesFollowers(int routers) {
		return routers > TARGET_WATCHERS;
	}

	/**
	 * Decides whether a router that has just received a reply of the store watches it
	 * from now on.
	 * @param others the estimated number of other watchers
	 * @return whether the router watches the store
	 */
	boolean shouldWatch(double others) {
		return this.random.nextDouble() * (1 + others) < TARGET_WATCHERS;
	}

	/**
	 * Returns the delay until a router polls the store to confirm its list.
	 * @param ageMs the time since the list was last confirmed as the newest, in
	 * milliseconds
	 * @param watches whether the router watches the store
	 * @return the delay in milliseconds after which to call this method again; 0 where
	 * the poll is due
	 */
	long pollDelayMs(long ageMs, boolean watches) {
		long staleMs = ofDrainMs(watches ? WATCHER_STALE_RATIO : STALE_RATIO);
		long jitterMs = ofDrainMs(watches ? WATCHER_JITTER_RATIO : JITTER_RATIO);
		return (ageMs >= staleMs) ? 0 : staleMs - ageMs + this.random.nextLong(jitterMs);
	}

	private long ofDrainMs(double ratio) {
		return Math.max(1, (long) (ratio * this.drainMs));
	}

}
