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
import io.whinjunction.memory.MemoryBudget;

/**
 * Builds the channel pipeline of a new connection. Stateless except for its settings;
 * shared by all connections.
 */
final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

	private static final int MAX_STREAMS_PER_CONNECTION = 1000;

	private final HttpServerSettings settings;

	private final Handler handler;

	private final OpenConnections connections;

	private final MemoryBudget budget;

	private final ServerConnections accepted = new ServerConnections();

	ConnectionInitializer(HttpServerSettings settings, Handler handler, OpenConnections connections,
			MemoryBudget budget) {
		this.settings = settings;
		this.handler = handler;
		this.connections = connections;
		this.budget = budget;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		ChannelPipeline pipeline = channel.pipeline();
		ServerConnection connection = new ServerConnection(channel, this.budget,
				new SlowRequestGuard(this.settings.requestTimeoutMs()));
		this.accepted.opened(connection, channel);
		if (this.settings.tls() == null) {
			pipeline.addLast(new ProtocolDetector(this, connection));
			return;
		}
		pipeline.addLast(this.settings.tls().get().newHandler(channel.alloc()));
		pipeline.addLast(new ApplicationProtocolNegotiationHandler(ApplicationProtocolNames.HTTP_1_1) {

			@Override
			protected void configurePipeline(ChannelHandlerContext context, String protocol) {
				if (ApplicationProtocolNames.HTTP_2.equals(protocol)) {
					addHttp2(context.pipeline(), connection);
				}
				else {
					addHttp1(context.pipeline(), connection);
				}
			}

		});
	}

	void addHttp1(ChannelPipeline pipeline, ServerConnection connection) {
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxHeaderSize(this.settings.maxHeaderBytes())
			.setMaxInitialLineLength(this.settings.maxHeaderBytes());
		StrictRequestDecoder requests = new StrictRequestDecoder(decoder, connection);
		connection.decodeWith(requests);
		pipeline.addLast(connection.guard());
		pipeline.addLast(requests);
		pipeline.addLast(new HttpResponseEncoder());
		addCommon(pipeline, connection.guard(), connection, false);
	}

	void addHttp2(ChannelPipeline pipeline, ServerConnection connection) {
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
				connection.streamOpened(stream);
				addCommon(stream.pipeline(), guard, connection, true);
			}

		}));
	}

	private void addCommon(ChannelPipeline pipeline, SlowRequestGuard guard, ServerConnection connection,
			boolean http2) {
		RequestMeter meter = new RequestMeter(this.budget);
		pipeline.addLast(new HeadGuard(this.handler));
		pipeline.addLast(meter);
		pipeline.addLast(new BodyAggregator(this.settings.maxBodyBytes(), guard));
		pipeline.addLast(new ExchangeHandler(this.handler, guard, this.connections, http2, (context) -> {
			meter.requestEnded();
			connection.next(context);
		}));
		this.connections.opened(pipeline.channel());
	}

}
