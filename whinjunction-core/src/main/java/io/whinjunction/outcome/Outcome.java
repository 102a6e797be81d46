package io.whinjunction.outcome;

/**
 * The outcome of a request as reported to its caller. There is no fourth case.
 * <p>
 * Invariant: {@link NotRun} is created only if it is certain that no upstream acted on
 * the request; every doubtful case is {@link Unknown}. Immutable, thread-safe.
 */
public sealed interface Outcome {

	/**
	 * Returns the value of the {@code whin-outcome} response header.
	 * @return {@code answered}, {@code not-run} or {@code unknown}
	 */
	default String headerValue() {
		return switch (this) {
			case Answered ignored -> "answered";
			case NotRun ignored -> "not-run";
			case Unknown ignored -> "unknown";
		};
	}

	/**
	 * The request ran and its complete answer reached this entry.
	 */
	record Answered() implements Outcome {
	}

	/**
	 * The request certainly did not run.
	 *
	 * @param refusal the reason, and when to retry
	 */
	record NotRun(Refusal refusal) implements Outcome {
	}

	/**
	 * The request may have run; the system never repeats it.
	 *
	 * @param refusal the reason, and when to ask again
	 */
	record Unknown(Refusal refusal) implements Outcome {
	}

}
