package io.whinjunction.router;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Serves the readiness check and the metrics of this process. Confined to the event loop.
 */
@Sharable
final class ReadyHandler extends SimpleChannelInboundHandler<HttpRequest> {

	private static final String METRICS_PATH = "/metrics";

	private final String readyPath;

	private final BooleanSupplier ready;

	private final RouterMetrics metrics;

	ReadyHandler(String readyPath, BooleanSupplier ready, RouterMetrics metrics) {
		this.readyPath = readyPath;
		this.ready = ready;
		this.metrics = metrics;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
		if (request.uri().equals(METRICS_PATH)) {
			reply(context, HttpResponseStatus.OK, Unpooled.wrappedBuffer(this.metrics.text()));
		}
		else if (!request.uri().equals(this.readyPath)) {
			reply(context, HttpResponseStatus.NOT_FOUND, text("there is " + this.readyPath + " and " + METRICS_PATH));
		}
		else if (this.ready.getAsBoolean()) {
			reply(context, HttpResponseStatus.OK, text("ready"));
		}
		else {
			reply(context, HttpResponseStatus.SERVICE_UNAVAILABLE, text("not ready"));
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private static ByteBuf text(String text) {
		return Unpooled.copiedBuffer(text + "\n", StandardCharsets.US_ASCII);
	}

	private static void reply(ChannelHandlerContext context, HttpResponseStatus status, ByteBuf body) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		context.writeAndFlush(response);
	}

}
