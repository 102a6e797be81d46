package io.whinjunction.router;

/**
 * The outcome of an order to an engine. Immutable.
 */
public sealed interface OrderReply {

	/** The engine has begun the order, or already has the ordered state. */
	record Accepted() implements OrderReply {
	}

	/**
	 * A newer holder of the lease has issued orders: this process must not issue any
	 * more.
	 */
	record Fenced() implements OrderReply {
	}

	/**
	 * The engine refused the order and will not carry it out.
	 *
	 * @param reason the reason, for logs
	 * @param faultyAddress the address of the engine that caused the failure, or
	 * {@code null}
	 */
	record Refused(String reason, String faultyAddress) implements OrderReply {
	}

	/**
	 * No reply arrived; the engine may carry out the order, now or later.
	 *
	 * @param reason the reason, for logs
	 */
	record Unknown(String reason) implements OrderReply {
	}

}
