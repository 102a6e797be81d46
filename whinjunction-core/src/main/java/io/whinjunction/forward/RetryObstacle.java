package io.whinjunction.forward;

/**
 * What prevents another attempt of a request.
 */
public enum RetryObstacle {

	/** The request may have run, and its route does not allow it to run again. */
	NOT_REPEATABLE("not-repeatable"),
	/** Too little of the caller's time is left. */
	NO_TIME("no-time"),
	/** The request was sent as often as its route allows. */
	SENDS_USED("sends-used"),
	/** This router's share of the retry budget is used up. */
	NO_BUDGET("no-budget"),
	/** No upstream can serve the request now. */
	NO_UPSTREAM("no-upstream"),
	/**
	 * This router was allowed no further upstream; the router that has the caller decides
	 * what follows.
	 */
	LEFT_TO_ORIGIN("left-to-origin"),
	/** The last attempt to resume a stream ended before it sent an event. */
	NO_PROGRESS("no-progress"),
	/** A part of the answer has been passed on that cannot be resumed. */
	NOT_RESUMABLE("not-resumable"),
	/** The request crashes upstreams. */
	CRASHES_UPSTREAMS("crashes-upstreams"),
	/** This process is stopping. */
	STOPPING("stopping");

	private final String logName;

	RetryObstacle(String logName) {
		this.logName = logName;
	}

	/**
	 * Returns whether the obstacle may pass while a caller waits for the rest of its
	 * answer.
	 * @return {@code false} if no later attempt is possible either
	 */
	public boolean temporary() {
		return switch (this) {
			case NO_BUDGET, NO_UPSTREAM, NO_PROGRESS -> true;
			case NOT_REPEATABLE, NO_TIME, SENDS_USED, LEFT_TO_ORIGIN, NOT_RESUMABLE, CRASHES_UPSTREAMS, STOPPING ->
				false;
		};
	}

	/**
	 * Returns the name in log lines.
	 * @return one word
	 */
	public String logName() {
		return this.logName;
	}

}
