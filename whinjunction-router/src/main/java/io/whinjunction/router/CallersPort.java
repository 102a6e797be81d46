package io.whinjunction.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;

/**
 * The listening port for callers, bound as the first thing that a process does.
 * <p>
 * Load pattern: all routers were killed, and callers reconnect while they start. A
 * process spends most of its start loading classes and on its first calls. Before ports
 * were bound early, connections were refused during that time; callers have one more try,
 * and both tries failed within a millisecond. Connections that wait in the accept queue
 * are served as soon as the router can answer. If that takes longer than
 * {@link #MAX_WAIT_MS}, the port is closed again, so that callers turn to another router.
 * <p>
 * Invariant: the channel has one owner, this object until it is taken. Not thread-safe:
 * used by one thread at a time.
 */
public final class CallersPort implements AutoCloseable {

	/**
	 * How long callers may wait in the accept queue of a process that has started, in
	 * milliseconds: enough for the first calls, and below the time within which callers
	 * want their answer to begin.
	 */
	static final long MAX_WAIT_MS = 300;

	/** Connections that may wait in the accept queue while the process is busy. */
	static final int BACKLOG = 1024;

	/**
	 * The kernel's buffer for what was received of one connection and is not read, in
	 * bytes. All of them together stay below the memory of a small instance.
	 */
	static final int RECEIVE_BUFFER_BYTES = 16_384;

	private ServerSocketChannel channel;

	private CallersPort(ServerSocketChannel channel) {
		this.channel = channel;
	}

	/**
	 * Returns a port that is bound only when it is needed.
	 * @return a port without a channel
	 */
	public static CallersPort unbound() {
		return new CallersPort(null);
	}

	/**
	 * Binds a port immediately.
	 * @param address {@code IP:PORT}
	 * @return the port
	 * @throws IOException if it cannot be bound
	 */
	public static CallersPort bind(String address) throws IOException {
		ServerSocketChannel channel = ServerSocketChannel.open();
		channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
		channel.bind(Addresses.parse(address), BACKLOG);
		return new CallersPort(channel);
	}

	/**
	 * Transfers ownership of the channel to the caller of this method. A channel that is
	 * bound to another port is closed.
	 * @param address the address at which it has to be bound
	 * @return the channel, or empty if there is none for the port
	 */
	Optional<ServerSocketChannel> take(InetSocketAddress address) {
		ServerSocketChannel taken = this.channel;
		if (taken == null || !taken.isOpen() || taken.socket().getLocalPort() != address.getPort()) {
			close();
			return Optional.empty();
		}
		this.channel = null;
		return Optional.of(taken);
	}

	@Override
	public void close() {
		if (this.channel == null) {
			return;
		}
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			// Not a static field: a process that starts should not load the logger for
			// it.
			FluentLogger.forEnclosingClass().atWarning().withCause(ex).log("event=close-failed port=callers");
		}
		this.channel = null;
	}

}
