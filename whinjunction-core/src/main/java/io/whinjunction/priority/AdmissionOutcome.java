package io.whinjunction.priority;

/**
 * What happens to a request that arrived at, or waited in, a {@link PriorityLine}.
 */
public sealed interface AdmissionOutcome {

	/** The request begins. */
	record Begin() implements AdmissionOutcome {
	}

	/**
	 * The request is refused and has not run.
	 *
	 * @param reason the reason
	 * @param drainMs when the requests ahead of it are expected to have begun, in
	 * milliseconds from now; very large if not at the present load
	 */
	record Refuse(Reason reason, long drainMs) implements AdmissionOutcome {
	}

	/** Why a request is refused. */
	enum Reason {

		/** It could not begin early enough to be on time. */
		GIVES_WAY("gives-way"),
		/** Too many requests wait, and none of them is less urgent. */
		LINE_FULL("line-full");

		private final String logName;

		Reason(String logName) {
			this.logName = logName;
		}

		/**
		 * Returns the name in log lines.
		 * @return one word
		 */
		public String logName() {
			return this.logName;
		}

	}

}
