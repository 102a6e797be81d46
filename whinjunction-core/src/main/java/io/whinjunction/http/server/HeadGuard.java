package io.whinjunction.http.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Refuses requests by their head, before the body is read.
 * <p>
 * Guards against bodies that must not reach this place at all, and against request
 * smuggling ({@link RequestHeadValidator}). One per connection or HTTP/2 stream; confined
 * to its event loop.
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
				context.fireUserEventTriggered(new ClosingReply(refusal.get()));
				return;
			}
		}
		context.fireChannelRead(message);
	}

	private Optional<Reply> refusal(HttpRequest head) {
		Optional<String> problem = RequestHeadValidator.problem(head);
		if (problem.isPresent()) {
			return bad(problem.get());
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
