package io.whinjunction.http.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Gathers a body up to a limit; a larger one is refused as JSON and the connection ends,
 * since the rest of the body cannot be told from a next request. One per connection.
 */
final class BodyAggregator extends HttpObjectAggregator {

	private static final String BODY = "{\"error\":{\"code\":\"too-large\",\"message\":\"The body is larger than %d bytes.\"}}";

	private final int maxBodyBytes;

	BodyAggregator(int maxBodyBytes) {
		super(maxBodyBytes);
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		Reply reply = Reply.json(413, BODY.formatted(this.maxBodyBytes)).with("whin-outcome", "not-run");
		context.fireUserEventTriggered(new LastAnswer(reply));
	}

}
