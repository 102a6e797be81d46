package io.whinjunction.router;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.whinjunction.http.BoundedReads;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.time.Closer;

/**
 * The ports on which a router listens, each with a share of the descriptors.
 * <p>
 * Invariant: callers, peers and checks together leave descriptors for the connections
 * that this process makes. Confined to the event loop.
 */
final class Listeners {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Descriptors that are not sockets. */
	private static final int FILE_DESCRIPTORS = 200;

	/**
	 * The part of the sockets that callers may take: each of their requests may take
	 * another one to an upstream, and the rest serves peers, engines and the store.
	 */
	private static final int CALLERS_DIVISOR = 3;

	private static final int PEERS_DIVISOR = 6;

	private static final int CHECKS_DIVISOR = 50;

	private final RouterContext router;

	private final MemoryBudget budget;

	private final int maxSockets;

	private final Runnable onFatal;

	private final Closer closer;

	private final List<AcceptedConnections> ports = new ArrayList<>();

	/**
	 * Creates an instance without ports.
	 * @param router the event loop, the configuration and the metrics
	 * @param budget the memory that callers may hold
	 * @param maxDescriptors the number of files and sockets that the process may open
	 * @param onFatal is run if a port is not available
	 * @param closer closes the ports
	 */
	Listeners(RouterContext router, MemoryBudget budget, int maxDescriptors, Runnable onFatal, Closer closer) {
		this.router = router;
		this.budget = budget;
		this.maxSockets = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
		this.onFatal = onFatal;
		this.closer = closer;
	}

	/**
	 * Listens for callers.
	 * @param port the port if it is bound already
	 * @param address the address
	 * @param handler creates what handles the requests of a connection
	 * @return the listening channel
	 */
	Channel listenForCallers(CallersPort port, InetSocketAddress address,
			Function<AcceptedConnection, ChannelHandler> handler) {
		Consumer<SocketChannel> initializer = initializer("callers", CALLERS_DIVISOR, handler);
		return port.take(address)
			.map((bound) -> serve(
					server(initializer).channelFactory(() -> new NioServerSocketChannel(bound)).register(), address))
			.orElseGet(() -> listen(address, initializer));
	}

	/**
	 * Listens for peers.
	 * @param address the address
	 * @param handler creates what handles the requests of a connection
	 */
	void listenForPeers(InetSocketAddress address, Function<AcceptedConnection, ChannelHandler> handler) {
		listen(address, initializer("peers", PEERS_DIVISOR, handler));
	}

	/**
	 * Listens for checks of this process.
	 * @param name the name of the port, for logs
	 * @param address the address
	 * @param handler handles the requests of all connections
	 */
	void listenForChecks(String name, InetSocketAddress address, ChannelHandler handler) {
		listen(address, initializer(name, CHECKS_DIVISOR, (connection) -> handler));
	}

	/** Closes the connections whose callers take too long. */
	void sweep() {
		this.ports.forEach(AcceptedConnections::sweep);
	}

	private Consumer<SocketChannel> initializer(String name, int divisor,
			Function<AcceptedConnection, ChannelHandler> handler) {
		AcceptedConnections connections = new AcceptedConnections(this.router, this.budget, name,
				Math.max(1, this.maxSockets / divisor));
		this.ports.add(connections);
		return (channel) -> connections.initialize(channel, handler);
	}

	private Channel listen(InetSocketAddress address, Consumer<SocketChannel> initializer) {
		ServerBootstrap server = server(initializer).channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, CallersPort.BACKLOG)
			.option(ChannelOption.SO_RCVBUF, CallersPort.RECEIVE_BUFFER_BYTES)
			.option(ChannelOption.SO_REUSEADDR, true);
		return serve(server.bind(address), address);
	}

	private ServerBootstrap server(Consumer<SocketChannel> initializer) {
		ChannelHandler children = new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				initializer.accept(channel);
			}

		};
		return new ServerBootstrap().group(this.router.loop())
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR, BoundedReads.allocator())
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(children);
	}

	private Channel serve(ChannelFuture binding, InetSocketAddress address) {
		binding.addListener((bound) -> {
			if (!bound.isSuccess()) {
				logger.atSevere().withCause(bound.cause()).log("event=listen-failed address=%s", address);
				this.onFatal.run();
			}
		});
		this.closer.register(() -> binding.channel().close());
		return binding.channel();
	}

}
