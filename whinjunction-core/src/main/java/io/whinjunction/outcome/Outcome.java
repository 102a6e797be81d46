package io.whinjunction.outcome;

/**
 * What a caller may be told about its request. There is no fourth case.
 * <p>
 * Invariant: {@link NotRun} is only ever built where it is certain that no upstream acted
 * on the request; every doubt is {@link Unknown}. Immutable, safe for all threads.
 */
public sealed interface Outcome {

	/**
	 * The word of this outcome in the {@code whin-outcome} response header.
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
	 * The request ran and its whole answer reached this entry.
	 */
	record Answered() implements Outcome {
	}

	/**
	 * The request certainly did not run.
	 *
	 * @param refusal why, and when a retry makes sense
	 */
	record NotRun(Refusal refusal) implements Outcome {
	}

	/**
	 * The request may have run; the system never repeats it.
	 *
	 * @param refusal what is known, and when asking again makes sense
	 */
	record Unknown(Refusal refusal) implements Outcome {
	}

}
