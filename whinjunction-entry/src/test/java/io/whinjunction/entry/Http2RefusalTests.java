package io.whinjunction.entry;

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
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a refusal ends an HTTP/2 stream whose request body still arrives.
 */
class Http2RefusalTests {

	// Guards against a refusal that looks like a failure: the entry refused a request
	// whose body was still being sent, and reset the stream as cancelled after the
	// complete response, which clients take as a failure of the response. A server that
	// needs no more of a body resets with NO_ERROR (RFC 9113, 8.1).
	@Test
	void aStreamRefusedBeforeItsBodyEndsIsResetWithNoError() throws Exception {
		CompletableFuture<Long> reset = new CompletableFuture<>();
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		try (LocalSystem system = new LocalSystem().engines(0).stopping(500, 1000).entries(1).configure()) {
			Channel connection = new Bootstrap().group(group)
				.channel(NioSocketChannel.class)
				.handler(new ChannelInitializer<>() {

					@Override
					protected void initChannel(Channel channel) {
						channel.pipeline()
							.addLast(Http2FrameCodecBuilder.forClient().build(),
									new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
					}

				})
				.connect("127.0.0.1", system.entry(0).callerPort())
				.sync()
				.channel();
			Http2StreamChannel stream = new Http2StreamChannelBootstrap(connection)
				.handler(new ChannelInboundHandlerAdapter() {

					@Override
					public void channelRead(ChannelHandlerContext context, Object message) {
						note(message);
					}

					@Override
					public void userEventTriggered(ChannelHandlerContext context, Object event) {
						note(event);
					}

					private void note(Object message) {
						if (message instanceof Http2ResetFrame frame) {
							reset.complete(frame.errorCode());
						}
					}

				})
				.open()
				.sync()
				.getNow();
			Http2Headers head = new DefaultHttp2Headers().method("POST")
				.path("/services/booking-api/bookings")
				.scheme("http")
				.authority("x")
				.add("authorization", "Bearer key-1");
			stream.write(new DefaultHttp2HeadersFrame(head));
			stream.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(new byte[10]))).sync();
			Thread.sleep(100);
			system.entry(0).stop();
			assertThat(Http2Error.valueOf(reset.get(5, TimeUnit.SECONDS))).isEqualTo(Http2Error.NO_ERROR);
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

}
