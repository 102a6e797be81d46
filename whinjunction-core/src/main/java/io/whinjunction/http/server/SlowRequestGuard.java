package io.whinjunction.http.server;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Ends a connection whose request does not arrive in time.
 * <p>
 * The failure it is there for: callers that send a byte now and then hold connections and
 * buffers until none are left for others. A limit from the first byte to the last is
 * enough, since a sender cannot extend it. One per connection or HTTP/2 stream, on its
 * event loop.
 */
final class SlowRequestGuard extends ChannelInboundHandlerAdapter {

	private final int timeoutMs;

	private Future<?> timer;

	private boolean busy;

	SlowRequestGuard(int timeoutMs) {
		this.timeoutMs = timeoutMs;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.timer == null && !this.busy) {
			this.timer = context.executor()
				.schedule(() -> context.pipeline().fireUserEventTriggered(new RequestTimedOut()), this.timeoutMs,
						TimeUnit.MILLISECONDS);
		}
		context.fireChannelRead(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		requestComplete();
		context.fireChannelInactive();
	}

	/**
	 * The request is whole.
	 */
	void requestComplete() {
		this.busy = true;
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	/**
	 * Whether a request has begun to arrive and is not whole.
	 * @return {@code false} between requests and while one is answered
	 */
	boolean receiving() {
		return this.timer != null;
	}

	/**
	 * Whether a request that is whole has not been answered.
	 * @return {@code false} while the next answer would be that of the next request
	 */
	boolean busy() {
		return this.busy;
	}

	/**
	 * The next request may come.
	 */
	void idle() {
		this.busy = false;
	}

	/**
	 * The event that ends the request.
	 */
	record RequestTimedOut() {
	}

}
