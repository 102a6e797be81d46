package io.whinjunction.router;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

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
 * Serves the configuration in force to peers, with the age of its proof. Confined to the
 * event loop.
 */
@Sharable
public final class PeerConfigurationHandler extends SimpleChannelInboundHandler<HttpRequest> {

	/** Path of the configuration. */
	public static final String PATH = "/configuration";

	/** Header with the age of the proof, in milliseconds. */
	public static final String PROOF_AGE_MS = "whin-proof-age-ms";

	private final Supplier<ConfigurationDocument> document;

	private final LongSupplier proofAgeMs;

	PeerConfigurationHandler(Supplier<ConfigurationDocument> document, LongSupplier proofAgeMs) {
		this.document = document;
		this.proofAgeMs = proofAgeMs;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
		ConfigurationDocument current = this.document.get();
		boolean found = current != null && request.uri().equals(PATH);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				found ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
				found ? Unpooled.wrappedBuffer(current.text()) : Unpooled.EMPTY_BUFFER);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		response.headers().set(PROOF_AGE_MS, Long.toString(this.proofAgeMs.getAsLong()));
		context.writeAndFlush(response);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
