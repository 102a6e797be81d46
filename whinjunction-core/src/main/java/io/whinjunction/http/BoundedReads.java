package io.whinjunction.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * How much one turn of an event loop reads from one connection: one buffer, so that a
 * connection on which bytes arrive without end leaves the rest of the turn to the others.
 * Stateless.
 */
public final class BoundedReads {

	private static final int MIN_BYTES = 64;

	private static final int INITIAL_BYTES = 2048;

	private static final int MAX_BYTES = 16_384;

	private BoundedReads() {
	}

	/**
	 * Returns the channel option's value.
	 * @return an allocator of buffers that adapt to what arrives
	 */
	public static RecvByteBufAllocator allocator() {
		return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES).maxMessagesPerRead(1);
	}

}
