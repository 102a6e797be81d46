package io.whinjunction.entry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;

/**
 * HTTP/2 client for tests, by prior knowledge, with several streams on one connection.
 */
final class Http2TestClient implements AutoCloseable {

	private final EventLoopGroup group;

	private final Channel connection;

	private final CompletableFuture<Http2Error> goAway;

	private Http2TestClient(EventLoopGroup group, Channel connection, CompletableFuture<Http2Error> goAway) {
		this.group = group;
		this.connection = connection;
		this.goAway = goAway;
	}

	static Http2TestClient connect(int port) throws InterruptedException {
		CompletableFuture<Http2Error> goAway = new CompletableFuture<>();
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		Channel connection = new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(Http2FrameCodecBuilder.forClient().build(),
								new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
								new SimpleChannelInboundHandler<Http2GoAwayFrame>() {

									@Override
									protected void channelRead0(ChannelHandlerContext context, Http2GoAwayFrame frame) {
										goAway.complete(Http2Error.valueOf(frame.errorCode()));
									}

								});
				}

			})
			.connect("127.0.0.1", port)
			.sync()
			.channel();
		return new Http2TestClient(group, connection, goAway);
	}

	/**
	 * Returns a future for the error code of the GOAWAY frame of the server.
	 * @return completes when the frame arrives
	 */
	CompletableFuture<Http2Error> goAway() {
		return this.goAway;
	}

	Stream draft(String key, String prompt, int tokens) throws InterruptedException {
		Stream stream = new Stream();
		Http2StreamChannel channel = new Http2StreamChannelBootstrap(this.connection)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel opened) {
					opened.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(false), stream);
				}

			})
			.open()
			.sync()
			.getNow();
		stream.channel = channel;
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
				"/v1/completions", Unpooled
					.wrappedBuffer(HttpTestClient.draftBody(prompt, tokens, true).getBytes(StandardCharsets.UTF_8)));
		request.headers().set("host", "x").set("authorization", "Bearer " + key);
		channel.writeAndFlush(request).sync();
		return stream;
	}

	@Override
	public void close() {
		this.connection.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * The response on one stream, as received so far.
	 */
	static final class Stream extends SimpleChannelInboundHandler<HttpObject> {

		private final StringBuffer body = new StringBuffer();

		private final CompletableFuture<Void> ended = new CompletableFuture<>();

		private Channel channel;

		String body() {
			return this.body.toString();
		}

		String await() {
			this.ended.orTimeout(30, TimeUnit.SECONDS).join();
			return body();
		}

		void reset() {
			this.channel.close();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (message instanceof HttpContent content) {
				this.body.append(content.content().toString(StandardCharsets.UTF_8));
			}
			if (message instanceof LastHttpContent) {
				this.ended.complete(null);
			}
		}

	}

}
