package io.whinjunction.router;

/**
 * When a process that was told to stop turns requests away, then connections, and when it
 * ends whatever is left.
 * <p>
 * The load it answers: the balancer takes a process out only after two questions that got
 * no yes, and where it has no other process to send to it goes on with this one. A stream
 * that began 3.1 s into a grace of 8 s was cut in the middle at its end; one that is
 * refused as not run goes to another process within a tenth of a second.
 * <p>
 * All times are of the clock that counts suspensions: the platform's grace goes on while
 * a machine is suspended. Immutable.
 *
 * @param sinceMs when the signal came, in milliseconds
 * @param graceMs how long the process may take, in milliseconds
 */
record StopSchedule(long sinceMs, long graceMs) {

	/**
	 * How long new requests are served, in milliseconds: two questions of the balancer a
	 * second apart, and most of a second for what was on its way.
	 */
	private static final long SERVE_REQUESTS_MS = 2800;

	/** The part of a short grace in which new requests are served. */
	private static final double SERVE_REQUESTS_PART = 0.35;

	/** How long connections are taken, in milliseconds, to refuse what comes on them. */
	private static final long TAKE_CONNECTIONS_MS = 3300;

	/** The part of a short grace in which connections are taken. */
	private static final double TAKE_CONNECTIONS_PART = 0.5;

	/** What is left of the grace for the process itself to end, in milliseconds. */
	private static final long MARGIN_MS = 500;

	/**
	 * How long ago the signal came.
	 * @param nowMs the time
	 * @return milliseconds
	 */
	long ageMs(long nowMs) {
		return nowMs - this.sinceMs;
	}

	/**
	 * How long requests in progress have until they are cut.
	 * @param nowMs the time
	 * @return milliseconds; negative where the time is over
	 */
	long leftMs(long nowMs) {
		return this.graceMs - MARGIN_MS - ageMs(nowMs);
	}

	/**
	 * Whether a new request is served.
	 * @param nowMs the time
	 * @return {@code false} where it is refused
	 */
	boolean servesRequests(long nowMs) {
		return ageMs(nowMs) < Math.min(SERVE_REQUESTS_MS, SERVE_REQUESTS_PART * this.graceMs);
	}

	/**
	 * Whether new connections are taken.
	 * @param nowMs the time
	 * @return {@code false} where the process no longer listens
	 */
	boolean takesConnections(long nowMs) {
		return ageMs(nowMs) < Math.min(TAKE_CONNECTIONS_MS, TAKE_CONNECTIONS_PART * this.graceMs);
	}

	/**
	 * Whether the process ends even if requests are in progress.
	 * @param nowMs the time
	 * @return whether the grace is nearly over
	 */
	boolean over(long nowMs) {
		return leftMs(nowMs) <= 0;
	}

}
