package io.whinjunction.router;

/**
 * What became of an order to an engine. Immutable.
 */
public sealed interface OrderReply {

	/** It has begun, or what it asks for holds already. */
	record Accepted() implements OrderReply {
	}

	/** A newer holder of the lease has given orders: this process must give no more. */
	record Fenced() implements OrderReply {
	}

	/**
	 * It was refused and will not be carried out.
	 *
	 * @param reason why, for logs
	 * @param faultyAddress the engine that made it fail, or {@code null}
	 */
	record Refused(String reason, String faultyAddress) implements OrderReply {
	}

	/**
	 * No answer came; it may be carried out, now or later.
	 *
	 * @param reason why, for logs
	 */
	record Unknown(String reason) implements OrderReply {
	}

}
