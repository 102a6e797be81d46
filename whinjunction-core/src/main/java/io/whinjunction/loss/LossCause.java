package io.whinjunction.loss;

/**
 * The cause of a loss: why a request was not answered on time. Each request has one
 * cause, the first of these that its log lines show.
 */
public enum LossCause {

	/** The router refused the request as not run, for the reason in its log line. */
	REFUSED,
	/** The upstream itself failed the request, at each attempt that was allowed. */
	UPSTREAM_FAILED,
	/** No complete answer arrived before the timeout of the route or the caller. */
	OUT_OF_TIME,
	/** A stream ended before its last event. */
	BROKEN_OFF,
	/**
	 * An engine on its path did not answer or had restarted, and the request failed over.
	 */
	ENGINE_LOST,
	/**
	 * The upstream closed the connection or sent no answer, and another attempt was made.
	 */
	ANSWER_LOST,
	/** An upstream rejected the request as not run, and another attempt was made. */
	TURNED_AWAY,
	/**
	 * The first event or the answer was late at the first attempt, because of prompt
	 * processing or queueing.
	 */
	FIRST_LATE,
	/**
	 * A pause between events was too long although nothing was lost, because of a slow
	 * engine or link, or a full pass.
	 */
	SLOW_PAUSE,
	/** The log does not show the cause. */
	NOT_ATTRIBUTED

}
