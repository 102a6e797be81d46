package io.whinjunction.http.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;

/**
 * Refuses a request by its head, before its body is read.
 * <p>
 * The failures it is there for: a body that must not come to this place at all, and
 * request smuggling, where two readers disagree on where a body ends and one caller's
 * request swallows another's. A request with both lengths, a bad length or an unreadable
 * head is refused and its connection ends, so that no later byte can be misread. One per
 * connection or HTTP/2 stream, on its event loop.
 */
final class HeadGuard extends ChannelInboundHandlerAdapter {

	private static final String BAD_REQUEST = "{\"error\":{\"code\":\"bad-request\",\"message\":\"%s\"}}";

	private final Handler handler;

	private boolean closing;

	HeadGuard(Handler handler) {
		this.handler = handler;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (message instanceof HttpRequest head) {
			Optional<Reply> refusal = refusal(head);
			if (refusal.isPresent()) {
				this.closing = true;
				ReferenceCountUtil.release(message);
				context.writeAndFlush(Responses.whole(refusal.get(), true)).addListener(ChannelFutureListener.CLOSE);
				return;
			}
		}
		context.fireChannelRead(message);
	}

	private Optional<Reply> refusal(HttpRequest head) {
		if (head.decoderResult().isFailure()) {
			return bad("The request's head cannot be read or is too large.");
		}
		boolean chunked = head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
		List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
		if (chunked && !lengths.isEmpty()) {
			return bad("Both content-length and transfer-encoding are given; send one of them.");
		}
		if (lengths.size() > 1) {
			return bad("More than one content-length is given; send one.");
		}
		if (chunked && !head.headers().get(HttpHeaderNames.TRANSFER_ENCODING).equalsIgnoreCase("chunked")) {
			return bad("The only transfer-encoding taken is chunked.");
		}
		if (HttpVersion.HTTP_1_1.equals(head.protocolVersion()) && head.headers().getAll("host").size() != 1) {
			return bad("Exactly one host header is required.");
		}
		return this.handler.refuseEarly(toRequest(head, new byte[0]));
	}

	private static Optional<Reply> bad(String sentence) {
		return Optional.of(Reply.json(400, BAD_REQUEST.formatted(sentence)).with("whin-outcome", "not-run"));
	}

	static Request toRequest(HttpRequest head, byte[] body) {
		String uri = head.uri();
		int mark = uri.indexOf('?');
		String path = (mark >= 0) ? uri.substring(0, mark) : uri;
		String query = (mark >= 0) ? uri.substring(mark + 1) : "";
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		for (Map.Entry<String, String> header : head.headers()) {
			headers.add(Map.entry(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
		}
		return new Request(head.method().name(), path, query, List.copyOf(headers), body);
	}

}
