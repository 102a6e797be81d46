package io.whinjunction.http.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Aggregates a request body up to a maximum size. A larger body is refused with a JSON
 * response and the connection is closed, because the rest of the body cannot be
 * distinguished from a next request. A caller that sends {@code Expect: 100-continue}
 * receives the interim response only if no other response is in progress, since it would
 * be written into that one; otherwise the caller sends the body anyway after a while. One
 * per connection.
 */
final class BodyAggregator extends HttpObjectAggregator {

	private static final String BODY = "{\"error\":{\"code\":\"too-large\",\"message\":\"The body is larger than %d bytes.\"}}";

	private final int maxBodyBytes;

	private final SlowRequestGuard guard;

	BodyAggregator(int maxBodyBytes, SlowRequestGuard guard) {
		super(maxBodyBytes);
		this.maxBodyBytes = maxBodyBytes;
		this.guard = guard;
	}

	// Netty's aggregator would also refuse here, out of the order of responses. Without a
	// response it aggregates the body, or finds it too large in handleOversizedMessage.
	@Override
	protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
		boolean expected = HttpUtil.is100ContinueExpected(start);
		start.headers().remove(HttpHeaderNames.EXPECT);
		if (!expected || this.guard.busy() || HttpUtil.getContentLength(start, 0L) > maxContentLength) {
			return null;
		}
		return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		Reply reply = Reply.json(413, BODY.formatted(this.maxBodyBytes)).with("whin-outcome", "not-run");
		context.fireUserEventTriggered(new ClosingReply(reply));
	}

}
