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
 * Gathers a body up to a limit; a larger one is refused as JSON and the connection ends,
 * since the rest of the body cannot be told from a next request. A caller that asks
 * whether it may send its body is told to go on only where no answer is under way, into
 * which that would be written; otherwise it sends the body after a while unasked. One per
 * connection.
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

	// The aggregator of the library would also refuse here, past the order of answers.
	// With no response it gathers the body, or finds it too large below.
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
