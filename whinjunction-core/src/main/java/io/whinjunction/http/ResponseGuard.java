package io.whinjunction.http;

import java.io.IOException;
import java.util.List;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.asynchttpclient.netty.channel.ChannelManager;

/**
 * Stands before the HTTP client library's handler of a connection and passes on nothing
 * but the response to the call that was written last. The library's decoder of responses
 * is replaced by a strict one.
 * <p>
 * Invariants: interim responses are dropped; a response that arrives while no call waits
 * closes the connection; one whose head is invalid fails its call. Confined to the event
 * loop of its connection.
 */
final class ResponseGuard extends ChannelDuplexHandler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final StrictResponseDecoder decoder = new StrictResponseDecoder(new HttpDecoderConfig());

	private boolean awaited;

	private boolean interim;

	private ResponseGuard() {
	}

	/**
	 * Adds a guard to a new connection of the library.
	 * @param connection the connection
	 */
	static void install(Channel connection) {
		ResponseGuard guard = new ResponseGuard();
		connection.pipeline()
			.replace(ChannelManager.HTTP_CLIENT_CODEC, ChannelManager.HTTP_CLIENT_CODEC,
					new CombinedChannelDuplexHandler<>(guard.decoder, new HttpRequestEncoder()));
		connection.pipeline().addBefore(ChannelManager.AHC_HTTP_HANDLER, "response-guard", guard);
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest request) {
			this.decoder.expect(HttpMethod.HEAD.equals(request.method()));
			this.awaited = true;
			this.interim = false;
		}
		context.write(message, promise);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!this.awaited) {
			ReferenceCountUtil.release(message);
			if (context.channel().isOpen()) {
				logger.atWarning().log("event=surplus address=%s", context.channel().remoteAddress());
				context.close();
			}
			return;
		}
		if (message instanceof HttpObject object) {
			ResponseHeadValidator.problem(object, List.of())
				.ifPresent((problem) -> object
					.setDecoderResult(DecoderResult.failure(new IOException("invalid response: " + problem))));
			if (object instanceof HttpResponse response) {
				this.interim = object.decoderResult().isSuccess()
						&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			}
			if (this.interim) {
				ReferenceCountUtil.release(message);
				return;
			}
			this.awaited = !(object instanceof LastHttpContent);
		}
		context.fireChannelRead(message);
	}

}
