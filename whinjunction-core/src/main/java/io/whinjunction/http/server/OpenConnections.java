package io.whinjunction.http.server;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * The open HTTP/1.1 connections and HTTP/2 streams of one server, and whether callers are
 * to leave them.
 * <p>
 * The failure it is there for: a caller that keeps its connection goes on sending to a
 * server that stops, whatever the balancer does, and its last request meets a connection
 * that closes without a word. Told with each answer, callers have left before that. Safe
 * for all threads.
 */
final class OpenConnections {

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	/** Whose caller still sends, and must have time to read its last answer. */
	private final ChannelGroup lingering = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private volatile boolean draining;

	void opened(Channel channel) {
		this.channels.add(channel);
	}

	void addLingering(Channel channel) {
		this.lingering.add(channel);
	}

	/**
	 * Waits until the connections that only linger are closed.
	 * @param limitMs how long at most
	 */
	void awaitLingering(long limitMs) {
		this.lingering.newCloseFuture().awaitUninterruptibly(limitMs);
	}

	void startDraining() {
		this.draining = true;
	}

	boolean draining() {
		return this.draining;
	}

	void signal(Object event) {
		this.channels.forEach((channel) -> channel.pipeline().fireUserEventTriggered(event));
	}

	/**
	 * Asks the caller of an HTTP/2 connection for no more streams, where connections are
	 * to end. Streams on their way are still taken: a lower last stream would drop them.
	 * @param stream one of the connection's streams
	 */
	void sendGoAway(Channel stream) {
		if (this.draining) {
			stream.parent()
				.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(Integer.MAX_VALUE));
		}
	}

}
