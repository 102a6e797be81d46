package io.whinjunction.router;

/**
 * Outcome of acquiring a connection to an upstream. Immutable.
 */
sealed interface Acquisition {

	/**
	 * There is a connection.
	 *
	 * @param connection the connection, owned by the receiver
	 */
	record Connected(UpstreamConnection connection) implements Acquisition {
	}

	/** The upstream's instance refused it: no process listens at the address. */
	record Refused() implements Acquisition {
	}

	/** It could not be made in time, or failed otherwise. */
	record Failed() implements Acquisition {
	}

}
