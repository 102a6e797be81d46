package io.whinjunction.router;

/**
 * The times at which a process that was ordered to stop rejects requests, then
 * connections, and finally ends whatever is in progress.
 * <p>
 * Load pattern: the balancer takes a process out only after two unsuccessful readiness
 * checks, and continues to send to it if it has no other process. A stream that began 3.1
 * s into a grace period of 8 s was cut in the middle at its end; a request that is
 * rejected as not executed reaches another process within a tenth of a second.
 * <p>
 * All times are on the clock that counts suspensions, since the platform's grace period
 * continues while a machine is suspended. Immutable.
 *
 * @param sinceMs when the signal was received, in milliseconds
 * @param graceMs the grace period, in milliseconds
 */
record StopSchedule(long sinceMs, long graceMs) {

	/**
	 * How long new requests are served, in milliseconds: two readiness checks a second
	 * apart, and most of a second for requests that are under way.
	 */
	private static final long SERVE_REQUESTS_MS = 2800;

	/** The ratio of a short grace period during which new requests are served. */
	private static final double SERVE_REQUESTS_RATIO = 0.35;

	/**
	 * How long connections are accepted, in milliseconds, in order to reject their
	 * requests.
	 */
	private static final long ACCEPT_CONNECTIONS_MS = 3300;

	/** The ratio of a short grace period during which connections are accepted. */
	private static final double ACCEPT_CONNECTIONS_RATIO = 0.5;

	/**
	 * The part of the grace period reserved for the process itself to exit, in
	 * milliseconds.
	 */
	private static final long MARGIN_MS = 500;

	/**
	 * Returns the time since the signal.
	 * @param nowMs the current time
	 * @return milliseconds
	 */
	long ageMs(long nowMs) {
		return nowMs - this.sinceMs;
	}

	/**
	 * Returns the time until requests in progress are cut.
	 * @param nowMs the current time
	 * @return milliseconds; negative if that time has passed
	 */
	long leftMs(long nowMs) {
		return this.graceMs - MARGIN_MS - ageMs(nowMs);
	}

	/**
	 * Returns whether a new request is served.
	 * @param nowMs the current time
	 * @return {@code false} if it is rejected
	 */
	boolean servesRequests(long nowMs) {
		return ageMs(nowMs) < Math.min(SERVE_REQUESTS_MS, SERVE_REQUESTS_RATIO * this.graceMs);
	}

	/**
	 * Returns whether new connections are accepted.
	 * @param nowMs the current time
	 * @return {@code false} if the process no longer listens
	 */
	boolean acceptsConnections(long nowMs) {
		return ageMs(nowMs) < Math.min(ACCEPT_CONNECTIONS_MS, ACCEPT_CONNECTIONS_RATIO * this.graceMs);
	}

	/**
	 * Returns whether the process exits even if requests are in progress.
	 * @param nowMs the current time
	 * @return whether the grace period is nearly over
	 */
	boolean over(long nowMs) {
		return leftMs(nowMs) <= 0;
	}

}
