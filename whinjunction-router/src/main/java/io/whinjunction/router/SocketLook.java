package io.whinjunction.router;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what a socket holds at this moment, because a late event loop has not read it
 * yet. What is read goes through the connection's handlers as usual. Must not be used
 * within a read of the same connection. Stateless.
 */
final class SocketLook {

	/**
	 * Reads of one look; more bytes than these take are part of a body that is still
	 * being sent.
	 */
	private static final int MAX_READS = 8;

	private SocketLook() {
	}

	/**
	 * Looks whether a connection is still open.
	 * @param connection the connection
	 * @return {@code false} if its other end has closed or reset it, or its handlers
	 * closed it
	 */
	static boolean open(Channel connection) {
		AbstractNioChannel.NioUnsafe socket = (AbstractNioChannel.NioUnsafe) connection.unsafe();
		for (int reads = 0; reads < MAX_READS && connection.isActive(); reads++) {
			socket.read();
			if (socket.recvBufAllocHandle().lastBytesRead() <= 0) {
				break;
			}
		}
		return connection.isActive();
	}

}
