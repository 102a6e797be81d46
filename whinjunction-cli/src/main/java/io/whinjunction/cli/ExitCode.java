package io.whinjunction.cli;

/**
 * The exit codes of {@code whin}, as its help states them.
 */
enum ExitCode {

	/** Done. */
	OK(0),
	/** Done, but not everywhere: accepted, not in force in time; or the answer is no. */
	PARTIAL(1),
	/** The arguments or a file are wrong. */
	USAGE(2),
	/** Another operator's change was accepted first. */
	CONFLICT(3),
	/** The platform or an entry did not answer. */
	UNAVAILABLE(4);

	static final String HELP = "Exit codes: 0 done; 1 done in part, or the answer is no; "
			+ "2 wrong arguments or files; 3 another operator's change came first; "
			+ "4 the platform or an entry did not answer.";

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
