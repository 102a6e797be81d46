package io.whinjunction.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;

/**
 * The callers' port, bound as the first thing that a process does.
 * <p>
 * The load it answers: all routers were killed, and callers come back while they start. A
 * process needs most of its start for its classes and its first calls; until then its
 * port refused connections, callers have one more try, and both failed within a
 * millisecond. Connections that wait in the port's queue are answered as soon as there is
 * something to say. Where that takes longer than {@link #MAX_WAIT_MS}, the port is
 * closed again, so that callers turn to another router.
 * <p>
 * Invariant: the channel has one owner, this object until it is taken. Safe for one
 * thread at a time.
 */
public final class CallersPort implements AutoCloseable {

	/**
	 * How long callers may wait in the queue of a process that has started, in
	 * milliseconds: what the first calls take, and under the time within which they want
	 * their answer to begin.
	 */
	static final long MAX_WAIT_MS = 300;

	/** Connections that may wait while the process is busy. */
	static final int BACKLOG = 1024;

	private ServerSocketChannel channel;

	private CallersPort(ServerSocketChannel channel) {
		this.channel = channel;
	}

	/**
	 * A port that is bound when it is needed.
	 * @return a port without a channel
	 */
	public static CallersPort unbound() {
		return new CallersPort(null);
	}

	/**
	 * Binds a port at once.
	 * @param address {@code IP:PORT}
	 * @return the port
	 * @throws IOException where it can't be bound
	 */
	public static CallersPort bind(String address) throws IOException {
		ServerSocketChannel channel = ServerSocketChannel.open();
		channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		channel.bind(Addresses.parse(address), BACKLOG);
		return new CallersPort(channel);
	}

	/**
	 * Hands the channel over.
	 * @param address where it has to be bound
	 * @return the channel, or empty where there is none at the address
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
			// Not a constant: a process that starts should not load the logger for it.
			FluentLogger.forEnclosingClass().atWarning().withCause(ex).log("event=close-failed port=callers");
		}
		this.channel = null;
	}

}
