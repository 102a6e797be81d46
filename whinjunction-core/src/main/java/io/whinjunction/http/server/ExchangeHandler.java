package io.whinjunction.http.server;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;

/**
 * Passes complete requests to the handler on virtual threads, one at a time per
 * connection.
 * <p>
 * Invariant: responses are sent in the order of their requests, because a pipelined
 * request is not decoded until the previous one has been answered; after a response that
 * closes the connection no further request is started. One per connection or HTTP/2
 * stream; confined to its event loop.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final String TOO_SLOW = "{\"error\":{\"code\":\"too-slow\",\"message\":\"The request did not arrive in time.\"}}";

	private static final String STOPPING = "{\"error\":{\"code\":\"stopping\",\"message\":\"This server stops; the request had not arrived whole.\"}}";

	/**
	 * How long a connection stays open after its closing response while the caller still
	 * sends, in milliseconds. It covers the few round trips in which a caller reads the
	 * response and closes.
	 */
	static final long LINGER_MS = 1000;

	private final Handler handler;

	private final SlowRequestGuard guard;

	private final OpenConnections connections;

	private final boolean http2;

	/** Is run when a request is answered and another one may follow. */
	private final Consumer<ChannelHandlerContext> answered;

	private ChannelExchange current;

	private ClosingReply last;

	private boolean ending;

	ExchangeHandler(Handler handler, SlowRequestGuard guard, OpenConnections connections, boolean http2,
			Consumer<ChannelHandlerContext> answered) {
		this.handler = handler;
		this.guard = guard;
		this.connections = connections;
		this.http2 = http2;
		this.answered = answered;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
		this.guard.requestComplete();
		if (this.ending) {
			return;
		}
		Request request = HeadGuard.toRequest(message, ByteBufUtil.getBytes(message.content()));
		run(context, request, this.http2 || HttpUtil.isKeepAlive(message));
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.current != null) {
			this.current.markDisconnected();
		}
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
		switch (event) {
			case ClosingReply answer -> end(context, answer);
			case SlowRequestGuard.RequestTimedOut ignored ->
				end(context, new ClosingReply(Reply.json(408, TOO_SLOW).with("whin-outcome", "not-run")));
			case RefuseIncomplete ignored -> {
				if (this.guard.receiving()) {
					end(context, new ClosingReply(
							Reply.json(503, STOPPING).with("whin-outcome", "not-run").with("retry-after", "1")));
				}
			}
			default -> context.fireUserEventTriggered(event);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private void run(ChannelHandlerContext context, Request request, boolean keepAlive) {
		ChannelExchange exchange = new ChannelExchange(context.channel(), request, keepAlive, this.http2,
				this.connections, () -> context.executor().execute(() -> next(context)));
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
		if (this.current.closing()) {
			// Requests received after this one must not run: their responses could no
			// longer be sent.
			this.ending = true;
			return;
		}
		this.current = null;
		if (this.last != null) {
			write(context, this.last);
		}
		else {
			this.guard.idle();
			this.answered.accept(context);
		}
	}

	// A closing reply written into a response in progress would corrupt it and be read as
	// its end.
	private void end(ChannelHandlerContext context, ClosingReply answer) {
		if (this.ending) {
			return;
		}
		this.ending = true;
		if (this.current == null) {
			write(context, answer);
		}
		else {
			this.last = answer;
		}
	}

	private void write(ChannelHandlerContext context, ClosingReply answer) {
		if (this.http2) {
			this.connections.sendGoAway(context.channel());
		}
		ChannelFuture written = context.writeAndFlush(Responses.full(answer.reply(), true));
		if (!this.guard.receiving()) {
			written.addListener(ChannelFutureListener.CLOSE);
			return;
		}
		if (this.http2) {
			// Closing the channel alone would reset the stream as cancelled, which
			// callers may take for a failed response.
			written.addListener((sent) -> context.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.NO_ERROR))
				.addListener(ChannelFutureListener.CLOSE));
			return;
		}
		// The rest of the request is read and dropped. Closing at once would make it
		// cause a reset, which the caller would see instead of the response.
		this.connections.addLingering(context.channel());
		context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * The event that refuses a request that has been received only in part.
	 */
	record RefuseIncomplete() {
	}

}
