package io.whinjunction.forward;

/**
 * Decision after an attempt without a response for the caller. Immutable.
 */
public sealed interface RetryDecision {

	/** The request is sent to another upstream. */
	record Retry() implements RetryDecision {
	}

	/**
	 * The answer has begun and is resumed at an upstream as soon as possible; its caller
	 * keeps waiting.
	 *
	 * @param obstacle what prevents it now
	 */
	record Wait(RetryObstacle obstacle) implements RetryDecision {
	}

	/**
	 * The request has not run and never will; the response states when to retry.
	 *
	 * @param obstacle what prevents another attempt
	 */
	record Refuse(RetryObstacle obstacle) implements RetryDecision {
	}

	/**
	 * The request may have run; the response makes no claim about whether it did.
	 *
	 * @param obstacle what prevents another attempt
	 */
	record Fail(RetryObstacle obstacle) implements RetryDecision {
	}

}
