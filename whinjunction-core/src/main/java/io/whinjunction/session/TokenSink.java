package io.whinjunction.session;

/**
 * Where a draft's tokens go. Called from one thread.
 */
public interface TokenSink {

	/**
	 * Takes the next token.
	 * @param token the token
	 */
	void token(String token);

	/**
	 * Whether the caller has gone.
	 * @return {@code true} once nobody reads any more
	 */
	boolean cancelled();

	/**
	 * Whether the process ends now, so that no further token can be made.
	 * @return {@code true} once its time is up
	 */
	default boolean stopping() {
		return false;
	}

}
