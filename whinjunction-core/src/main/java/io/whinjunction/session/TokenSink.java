package io.whinjunction.session;

/**
 * Receives the tokens of a draft. Called from one thread.
 */
public interface TokenSink {

	/**
	 * Receives the next token.
	 * @param token the token
	 */
	void token(String token);

	/**
	 * Returns whether the caller has disconnected.
	 * @return {@code true} once no one reads the tokens any more
	 */
	boolean cancelled();

	/**
	 * Called after a pause in which no engine worked for the draft since its next attempt
	 * could not begin.
	 * @param durationMs the duration, in milliseconds
	 */
	default void paused(long durationMs) {
	}

	/**
	 * Returns whether the process terminates now, so that no further token can be
	 * generated.
	 * @return {@code true} once the time allowed for stopping has passed
	 */
	default boolean stopping() {
		return false;
	}

}
