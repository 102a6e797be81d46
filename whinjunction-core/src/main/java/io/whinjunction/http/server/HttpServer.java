package io.whinjunction.http.server;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * Listens on one port for HTTP/1.1 and HTTP/2 (by prior knowledge, and by ALPN with TLS).
 * <p>
 * Invariant: {@link #stopAccepting()} closes the listening port only; what is in progress
 * ends by itself. Safe for all threads.
 */
public final class HttpServer implements AutoCloseable {

	private static final int BACKLOG = 4096;

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
	 * Starts listening.
	 * @param settings port and limits
	 * @param handler what to do with requests
	 * @return the running server
	 * @throws IllegalStateException where the port cannot be bound
	 */
	public static HttpServer start(HttpServerSettings settings, Handler handler) {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(WORKERS, NioIoHandler.newFactory());
		OpenConnections connections = new OpenConnections();
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ConnectionInitializer(settings, handler, connections));
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
	 * The bound port.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Closes the listening port and lets open connections be.
	 */
	public void stopAccepting() {
		this.listener.close().awaitUninterruptibly();
	}

	/**
	 * From now on each answer tells its caller to leave the connection. Requests on new
	 * and open ones are taken as before.
	 */
	public void drainConnections() {
		this.connections.startDraining();
	}

	/**
	 * Refuses the requests of which a part has arrived: their callers hear that they did
	 * not run. Returns when the refusals are written.
	 */
	public void refuseIncomplete() {
		this.connections.signal(new ExchangeHandler.RefuseIncomplete());
		// The events are handled in order: an empty task is done after them.
		this.group.forEach((loop) -> loop.submit(() -> {
		}).awaitUninterruptibly());
	}

	@Override
	public void close() {
		stopAccepting();
		// Closed at once, a connection whose caller still sends is reset, and the caller
		// sees that in place of its refusal.
		this.connections.awaitLingering(ExchangeHandler.LINGER_MS);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
