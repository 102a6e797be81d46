package io.whinjunction.router;

import java.util.function.Function;

/**
 * Outcome of a call to the platform's store. Immutable.
 *
 * @param <T> the type of the result
 */
public sealed interface StoreReply<T> {

	/**
	 * Converts the result, if there is one.
	 * @param conversion converts it
	 * @param <R> the type of the converted result
	 * @return the converted result, or the same outcome without a result
	 */
	default <R> StoreReply<R> map(Function<T, R> conversion) {
		return switch (this) {
			case Found<T> found -> new Found<>(conversion.apply(found.value()));
			case Absent<T> ignored -> new Absent<>();
			case Outdated<T> ignored -> new Outdated<>();
			case Unavailable<T> unavailable -> new Unavailable<>(unavailable.reason());
		};
	}

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
	 * A condition was not met, or the requested history has been discarded or is longer
	 * than what is read of it; the caller has to read again.
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
