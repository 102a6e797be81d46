package io.whinjunction.forward;

/**
 * How an attempt at one upstream ended without an answer that goes to the caller as it
 * is. Immutable.
 */
public sealed interface AttemptOutcome {

	/**
	 * Why, in a word for logs.
	 * @return the reason
	 */
	String reason();

	/**
	 * Nothing was sent: no upstream has seen the request.
	 *
	 * @param reason why
	 */
	record NotSent(String reason) implements AttemptOutcome {
	}

	/**
	 * The upstream said that it has not run the request and will not.
	 *
	 * @param reason why
	 */
	record NotRun(String reason) implements AttemptOutcome {
	}

	/**
	 * It was sent and no whole answer came: it may have run, or may yet.
	 *
	 * @param reason why
	 */
	record Unknown(String reason) implements AttemptOutcome {
	}

	/**
	 * The upstream answered that it failed; the request has run.
	 *
	 * @param reason why
	 */
	record Failed(String reason) implements AttemptOutcome {
	}

}
