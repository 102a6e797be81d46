package io.whinjunction.router;

/**
 * How far a request had come when it ended.
 */
enum RequestPhase {

	/** No attempt was under way: the body is incomplete, or the request waits. */
	UNSENT("unsent"),
	/** An attempt waited for its connection. */
	CONNECTING("connecting"),
	/** An attempt was sent, and nothing of its answer has arrived. */
	UNANSWERED("unanswered"),
	/** The head of the attempt's answer has arrived. */
	ANSWERING("answering");

	private final String logName;

	RequestPhase(String logName) {
		this.logName = logName;
	}

	/**
	 * Returns the name in log lines and metrics.
	 * @return one word
	 */
	String logName() {
		return this.logName;
	}

}
