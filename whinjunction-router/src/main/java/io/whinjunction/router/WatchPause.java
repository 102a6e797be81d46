package io.whinjunction.router;

/**
 * How long to wait after a change of the list of upstreams before it is watched again.
 * <p>
 * The load it answers: a watch ends with its first change, and each change ends the
 * watches of all routers. The larger the fleet, the more changes are gathered in one
 * call, as far as an upstream that leaves is still noticed well before it stops serving.
 * Engines that crash are noticed by their streams, not by the list. Over an emulated day
 * in which engines load, leave and come, each of 88 routers called the store 4.1 times a
 * second before, and 1.5 times with this, with the holder's word passed on and with reads
 * of the configuration paced by their bound. Stateless.
 */
final class WatchPause {

	/**
	 * In a burst, each change would be a call of its own: 48 at a start with 40
	 * upstreams.
	 */
	private static final long LEAST_MS = 400;

	/** Each router adds this much, so that all together call some 25 times a second. */
	private static final long MS_PER_ROUTER = 40;

	/**
	 * The part of the time for which a leaving upstream still serves: the rest is for the
	 * calls themselves and for a store that is slow.
	 */
	private static final double DRAIN_PART = 0.4;

	private WatchPause() {
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
