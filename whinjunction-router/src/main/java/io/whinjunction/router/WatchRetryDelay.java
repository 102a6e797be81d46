package io.whinjunction.router;

/**
 * Computes the delay before a failed watch of the list of upstreams is retried.
 * <p>
 * Load pattern: the store is down or rejects this router, and rejected calls cost
 * resources too. The delay grows with the size of the fleet, up to a bound at which a
 * leaving upstream is still noticed well before it stops serving. Stateless.
 */
final class WatchRetryDelay {

	/** The delay in a small fleet, in milliseconds. */
	private static final long MIN_MS = 400;

	/** Contribution of each router of the fleet, in milliseconds. */
	private static final long MS_PER_ROUTER = 40;

	/**
	 * Upper bound of the delay, as a ratio of the time for which a leaving upstream still
	 * serves. The rest is left for the calls themselves and for a slow store.
	 */
	private static final double MAX_DRAIN_RATIO = 0.4;

	private WatchRetryDelay() {
	}

	/**
	 * Returns the delay.
	 * @param routers the number of routers in the fleet
	 * @param drainMs how long a leaving upstream still serves, in milliseconds
	 * @return milliseconds
	 */
	static long ms(int routers, long drainMs) {
		long maxMs = Math.max(MIN_MS, (long) (MAX_DRAIN_RATIO * drainMs));
		return Math.clamp(MS_PER_ROUTER * routers, MIN_MS, maxMs);
	}

}
