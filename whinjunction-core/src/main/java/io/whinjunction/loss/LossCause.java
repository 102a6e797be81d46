package io.whinjunction.loss;

/**
 * Why a request was not answered on time. Each request has one cause: the first of these
 * that its log lines show.
 */
public enum LossCause {

	/** The router refused it as not run, for the reason in its line. */
	REFUSED,
	/** The upstream itself failed it, at each attempt that was allowed. */
	UPSTREAM_FAILED,
	/** No whole answer came until the route's or the caller's time was up. */
	OUT_OF_TIME,
	/** A stream ended before its last event. */
	BROKEN_OFF,
	/**
	 * An engine of its path was silent or had started again, and it went on elsewhere.
	 */
	ENGINE_LOST,
	/**
	 * The upstream ended the connection or sent no answer, and another attempt was made.
	 */
	ANSWER_LOST,
	/** An upstream refused it as not run, and another attempt was made. */
	TURNED_AWAY,
	/**
	 * The first event or the answer was late at the first attempt: reading, or a queue.
	 */
	FIRST_LATE,
	/**
	 * A pause was too long though nothing was lost: a slow engine or link, or a full
	 * pass.
	 */
	SLOW_PAUSE,
	/** The log has no line that says why. */
	NOT_ATTRIBUTED

}
