package io.whinjunction.forward;

/**
 * What follows after an attempt has ended. Immutable.
 */
public sealed interface RetryDecision {

	/** The request goes to another upstream. */
	record Retry() implements RetryDecision {
	}

	/** The request has not run and never will; the caller is told when to come back. */
	record Refuse() implements RetryDecision {
	}

	/** The request may have run; the caller is told that nothing is promised. */
	record Fail() implements RetryDecision {
	}

}
