package io.whinjunction.router;

/**
 * How long to wait after a watch of the list of upstreams that failed.
 * <p>
 * The load it answers: the store is down or turns this router away, and refused calls
 * have their price too. The larger the fleet, the longer each router waits, as far as an
 * upstream that leaves is still noticed well before it stops serving. Stateless.
 */
final class WatchRetryDelay {

	/** The pause in a small fleet, in milliseconds. */
	private static final long LEAST_MS = 400;

	/** What each router of the fleet adds, in milliseconds. */
	private static final long MS_PER_ROUTER = 40;

	/**
	 * The part of the time for which a leaving upstream still serves: the rest is for the
	 * calls themselves and for a store that is slow.
	 */
	private static final double DRAIN_PART = 0.4;

	private WatchRetryDelay() {
	}

	/**
	 * The pause.
	 * @param routers how many routers there are
	 * @param drainMs how long an upstream that leaves still serves, in milliseconds
	 * @return milliseconds
	 */
	static long ms(int routers, long drainMs) {
		long most = Math.max(LEAST_MS, (long) (DRAIN_PART * drainMs));
		return Math.clamp(MS_PER_ROUTER * routers, LEAST_MS, most);
	}

}
