package io.whinjunction.router;

/**
 * Outcome of a call to the platform's store. Immutable.
 *
 * @param <T> the type of the result
 */
public sealed interface StoreReply<T> {

	/**
	 * The store replied.
	 *
	 * @param value the result
	 * @param <T> the type of the result
	 */
	record Found<T>(T value) implements StoreReply<T> {
	}

	/**
	 * The object does not exist.
	 *
	 * @param <T> the type of the result
	 */
	record Absent<T>() implements StoreReply<T> {
	}

	/**
	 * A condition was not met, or the requested history has been discarded; the caller
	 * has to read again.
	 *
	 * @param <T> the type of the result
	 */
	record Outdated<T>() implements StoreReply<T> {
	}

	/**
	 * The store did not reply, or its reply could not be parsed. A write may have taken
	 * effect.
	 *
	 * @param reason the cause, for logs
	 * @param <T> the type of the result
	 */
	record Unavailable<T>(String reason) implements StoreReply<T> {
	}

}
