package io.whinjunction.forward;

/**
 * Outcome of an attempt at one upstream that produced no response to pass on to the
 * caller unchanged. Immutable.
 */
public sealed interface AttemptOutcome {

	/**
	 * Returns the reason, as one word for logs.
	 * @return the reason
	 */
	String reason();

	/**
	 * Nothing was sent: no upstream has received the request.
	 *
	 * @param reason the reason
	 */
	record NotSent(String reason) implements AttemptOutcome {
	}

	/**
	 * The upstream reported that it has not run the request and will not run it.
	 *
	 * @param reason the reason
	 */
	record NotRun(String reason) implements AttemptOutcome {
	}

	/**
	 * The request was sent and no complete response was received: it may have run, or may
	 * still run.
	 *
	 * @param reason the reason
	 */
	record Unknown(String reason) implements AttemptOutcome {
	}

	/**
	 * The upstream responded with a failure; the request has run.
	 *
	 * @param reason the reason
	 */
	record Failed(String reason) implements AttemptOutcome {
	}

}
