package io.whinjunction.http.server;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Hands whole requests to the handler, one at a time per connection, on virtual threads.
 * <p>
 * Invariant: answers leave in the order of their requests, since a pipelined request
 * waits until the one before it is answered. One per connection or HTTP/2 stream, on its
 * event loop.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final int MAX_PIPELINED = 16;

	private static final String TOO_SLOW = "{\"error\":{\"code\":\"too-slow\",\"message\":\"The request did not arrive in time.\"}}";

	private final Handler handler;

	private final SlowRequestGuard guard;

	private final boolean http2;

	private final Deque<Pending> waiting = new ArrayDeque<>();

	private ChannelExchange current;

	ExchangeHandler(Handler handler, SlowRequestGuard guard, boolean http2) {
		this.handler = handler;
		this.guard = guard;
		this.http2 = http2;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
		this.guard.arrived();
		Request request = HeadGuard.toRequest(message, ByteBufUtil.getBytes(message.content()));
		Pending pending = new Pending(request, this.http2 || HttpUtil.isKeepAlive(message));
		if (this.current == null) {
			run(context, pending);
		}
		else if (this.waiting.size() < MAX_PIPELINED) {
			this.waiting.add(pending);
		}
		else {
			context.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.current != null) {
			this.current.markGone();
		}
		this.waiting.clear();
		context.fireChannelInactive();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.current != null) {
			this.current.signalWritable();
		}
		context.fireChannelWritabilityChanged();
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof SlowRequestGuard.TooSlow && this.current == null) {
			Reply reply = Reply.json(408, TOO_SLOW).with("whin-outcome", "not-run");
			context.writeAndFlush(Responses.whole(reply, true)).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private void run(ChannelHandlerContext context, Pending pending) {
		ChannelExchange exchange = new ChannelExchange(context.channel(), pending.request(), pending.keepAlive(),
				this.http2, () -> context.executor().execute(() -> next(context)));
		this.current = exchange;
		Thread.startVirtualThread(() -> handle(exchange));
	}

	private void handle(ChannelExchange exchange) {
		try {
			this.handler.handle(exchange);
		}
		catch (Exception ex) {
			exchange.fail(ex);
		}
		finally {
			exchange.ensureFinished();
		}
	}

	private void next(ChannelHandlerContext context) {
		this.current = null;
		Pending pending = this.waiting.poll();
		if (pending != null) {
			run(context, pending);
		}
		else {
			this.guard.idle();
		}
	}

	private record Pending(Request request, boolean keepAlive) {
	}

}
