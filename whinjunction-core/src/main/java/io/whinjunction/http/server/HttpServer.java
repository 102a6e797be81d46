package io.whinjunction.http.server;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.whinjunction.memory.MemoryBudget;

/**
 * Serves HTTP/1.1 and HTTP/2 (with prior knowledge, or by ALPN with TLS) on one port.
 * <p>
 * Invariant: {@link #stopAccepting()} closes only the listening port; requests in
 * progress complete on their own. Thread-safe.
 */
public final class HttpServer implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int BACKLOG = 4096;

	/**
	 * The kernel's buffer for what was received of one connection and is not read, in
	 * bytes.
	 */
	private static final int RECEIVE_BUFFER_BYTES = 16_384;

	/** All servers of a process share its heap. */
	private static final MemoryBudget BUDGET = MemoryBudget.ofHeap((state, bytes, used, limit) -> logger.atWarning()
		.atMostEvery(1, TimeUnit.SECONDS)
		.log("a caller is refused or disconnected: it holds %d of %d bytes, of which callers may hold %d", bytes, used,
				limit));

	private static final int WORKERS = Math.min(4, Runtime.getRuntime().availableProcessors());

	private final EventLoopGroup group;

	private final Channel listener;

	private final OpenConnections connections;

	private HttpServer(EventLoopGroup group, Channel listener, OpenConnections connections) {
		this.group = group;
		this.listener = listener;
		this.connections = connections;
	}

	/**
	 * Starts a server.
	 * @param settings the port and limits
	 * @param handler handles the requests
	 * @return the running server
	 * @throws IllegalStateException if the port cannot be bound
	 */
	public static HttpServer start(HttpServerSettings settings, Handler handler) {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(WORKERS, NioIoHandler.newFactory());
		OpenConnections connections = new OpenConnections();
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ConnectionInitializer(settings, handler, connections, BUDGET));
		try {
			return new HttpServer(group, bootstrap.bind(settings.host(), settings.port()).sync().channel(),
					connections);
		}
		catch (Exception ex) {
			group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
			throw new IllegalStateException("cannot listen on " + settings.host() + ":" + settings.port(), ex);
		}
	}

	/**
	 * Returns the bound port.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Closes the listening port; open connections are not affected.
	 */
	public void stopAccepting() {
		this.listener.close().awaitUninterruptibly();
	}

	/**
	 * Starts draining: from now on each response asks its caller to close the connection.
	 * Requests on new and open connections are accepted as before.
	 */
	public void drainConnections() {
		this.connections.startDraining();
	}

	/**
	 * Refuses requests that have been received only in part; the response states that
	 * they did not run. Returns when the refusals have been written.
	 */
	public void refuseIncomplete() {
		this.connections.signal(new ExchangeHandler.RefuseIncomplete());
		// Event loops run tasks in order, so an empty task completes after the events.
		this.group.forEach((loop) -> loop.submit(() -> {
		}).awaitUninterruptibly());
	}

	@Override
	public void close() {
		stopAccepting();
		// If a connection is closed while its caller still sends, it is reset, and the
		// caller sees the reset instead of its refusal.
		this.connections.awaitLingering(ExchangeHandler.LINGER_MS);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
