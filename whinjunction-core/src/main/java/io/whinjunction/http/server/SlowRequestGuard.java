package io.whinjunction.http.server;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a connection whose request is not received in time.
 * <p>
 * Guards against callers that send a byte now and then and so hold connections and
 * buffers until none are left for others. One timeout from the first byte to the last is
 * sufficient, because the sender cannot extend it. One per connection or HTTP/2 stream;
 * confined to its event loop.
 */
final class SlowRequestGuard extends ChannelInboundHandlerAdapter {

	private final int timeoutMs;

	private Future<?> timer;

	private volatile boolean busy;

	SlowRequestGuard(int timeoutMs) {
		this.timeoutMs = timeoutMs;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		receive(context);
		context.fireChannelRead(message);
	}

	/**
	 * Records that a part of a request has been received.
	 * @param context a handler of the connection or HTTP/2 stream
	 */
	void receive(ChannelHandlerContext context) {
		if (this.timer == null && !this.busy) {
			this.timer = context.executor()
				.schedule(() -> context.pipeline().fireUserEventTriggered(new RequestTimedOut()), this.timeoutMs,
						TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		requestComplete();
		context.fireChannelInactive();
	}

	/**
	 * Records that the request has been received completely.
	 */
	void requestComplete() {
		this.busy = true;
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	/**
	 * Returns whether a request has been received only in part.
	 * @return {@code false} between requests and while one is being answered
	 */
	boolean receiving() {
		return this.timer != null;
	}

	/**
	 * Returns whether a complete request has not been answered yet.
	 * @return {@code false} if the next response would be that of the next request
	 */
	boolean busy() {
		return this.busy;
	}

	/**
	 * Records that the request has been answered and the next one may be received.
	 */
	void idle() {
		this.busy = false;
	}

	/**
	 * The event that a request was not received in time.
	 */
	record RequestTimedOut() {
	}

}
