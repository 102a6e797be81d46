package io.whinjunction.http.server;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * The open HTTP/1.1 connections and HTTP/2 streams of one server, and whether they are
 * draining.
 * <p>
 * Guards against lost requests when a server stops: a caller with a persistent connection
 * keeps sending to it whatever the balancer does, and its last request meets a connection
 * that closes without a response. Because each response asks callers to close, they have
 * moved to other servers before that. Thread-safe.
 */
final class OpenConnections {

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	/**
	 * Connections whose caller still sends and needs time to read the closing response.
	 */
	private final ChannelGroup lingering = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private volatile boolean draining;

	void opened(Channel channel) {
		this.channels.add(channel);
	}

	void addLingering(Channel channel) {
		this.lingering.add(channel);
	}

	/**
	 * Waits until all lingering connections are closed.
	 * @param limitMs the maximum wait, in milliseconds
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
	 * Sends a GOAWAY frame on an HTTP/2 connection if connections are draining, so that
	 * its caller opens no more streams. Streams already in transit are still accepted; a
	 * lower last stream identifier would drop them.
	 * @param stream a stream of the connection
	 */
	void sendGoAway(Channel stream) {
		if (this.draining) {
			stream.parent()
				.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(Integer.MAX_VALUE));
		}
	}

}
