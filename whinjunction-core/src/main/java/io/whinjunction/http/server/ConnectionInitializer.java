package io.whinjunction.http.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.ApplicationProtocolNegotiationHandler;

/**
 * Builds the channel pipeline of a new connection. Stateless except for its settings;
 * shared by all connections.
 */
final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

	private static final int MAX_STREAMS_PER_CONNECTION = 1000;

	private final HttpServerSettings settings;

	private final Handler handler;

	private final OpenConnections connections;

	ConnectionInitializer(HttpServerSettings settings, Handler handler, OpenConnections connections) {
		this.settings = settings;
		this.handler = handler;
		this.connections = connections;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		ChannelPipeline pipeline = channel.pipeline();
		if (this.settings.tls() == null) {
			pipeline.addLast(new ProtocolDetector(this));
			return;
		}
		pipeline.addLast(this.settings.tls().get().newHandler(channel.alloc()));
		pipeline.addLast(new ApplicationProtocolNegotiationHandler(ApplicationProtocolNames.HTTP_1_1) {

			@Override
			protected void configurePipeline(ChannelHandlerContext context, String protocol) {
				if (ApplicationProtocolNames.HTTP_2.equals(protocol)) {
					addHttp2(context.pipeline());
				}
				else {
					addHttp1(context.pipeline());
				}
			}

		});
	}

	void addHttp1(ChannelPipeline pipeline) {
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxHeaderSize(this.settings.maxHeaderBytes())
			.setMaxInitialLineLength(this.settings.maxHeaderBytes());
		SlowRequestGuard guard = new SlowRequestGuard(this.settings.requestTimeoutMs());
		pipeline.addLast(guard);
		pipeline.addLast(new StrictRequestDecoder(decoder));
		pipeline.addLast(new HttpResponseEncoder());
		addCommon(pipeline, guard, false);
	}

	void addHttp2(ChannelPipeline pipeline) {
		Http2Settings http2 = Http2Settings.defaultSettings()
			.maxConcurrentStreams(MAX_STREAMS_PER_CONNECTION)
			.maxHeaderListSize(this.settings.maxHeaderBytes());
		pipeline.addLast(Http2FrameCodecBuilder.forServer().initialSettings(http2).build());
		pipeline.addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel stream) {
				SlowRequestGuard guard = new SlowRequestGuard(ConnectionInitializer.this.settings.requestTimeoutMs());
				stream.pipeline().addLast(guard);
				stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true));
				addCommon(stream.pipeline(), guard, true);
			}

		}));
	}

	private void addCommon(ChannelPipeline pipeline, SlowRequestGuard guard, boolean http2) {
		pipeline.addLast(new HeadGuard(this.handler));
		pipeline.addLast(new BodyAggregator(this.settings.maxBodyBytes(), guard));
		pipeline.addLast(new ExchangeHandler(this.handler, guard, this.connections, http2));
		this.connections.opened(pipeline.channel());
	}

}
