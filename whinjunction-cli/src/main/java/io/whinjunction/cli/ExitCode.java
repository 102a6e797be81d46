package io.whinjunction.cli;

/**
 * The exit codes of {@code whin}, as its help states them.
 */
enum ExitCode {

	/** Success. */
	OK(0),
	/**
	 * Partial success, such as accepted but not in force in time; or a negative result.
	 */
	PARTIAL(1),
	/** The arguments or a file are invalid. */
	USAGE(2),
	/** Another operator's change was accepted first. */
	CONFLICT(3),
	/** The platform or an entry did not answer. */
	UNAVAILABLE(4);

	static final String HELP = "Exit codes: 0 success; 1 partial success, or a negative result; "
			+ "2 invalid arguments or files; 3 another operator's change was accepted first; "
			+ "4 the platform or an entry did not answer.";

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
