package io.whinjunction.router;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The socket of a connection to an upstream. Confined to the event loop.
 */
final class UpstreamSocket extends NioSocketChannel {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Whether the upstream has reset the connection. Works after the orderly end of the
	 * connection was read too, when a read does not show a reset any more.
	 * @return {@code true} also if that can't be found out
	 */
	boolean wasReset() {
		SocketChannel socket = javaChannel();
		// A selector adds this operation to a connected channel only for a pending error.
		try (Selector selector = socket.provider().openSelector()) {
			socket.register(selector, SelectionKey.OP_CONNECT);
			return selector.selectNow() > 0;
		}
		catch (IOException ex) {
			logger.atWarning().withCause(ex).log("event=socket-state-unknown address=%s", remoteAddress());
			return true;
		}
	}

}
