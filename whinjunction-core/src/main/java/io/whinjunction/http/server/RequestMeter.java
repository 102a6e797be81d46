package io.whinjunction.http.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.whinjunction.http.KeptBytes;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.memory.MemoryShare;

/**
 * Accounts for the request that is being aggregated or served, and refuses it if callers
 * hold too much memory before it is served.
 * <p>
 * Invariant: what is charged ends with the request. One per connection or HTTP/2 stream;
 * confined to its event loop, except for what the budget asks of it.
 */
final class RequestMeter extends ChannelInboundHandlerAdapter implements MemoryBudget.Holder {

	/** A body is held as received and as passed to its handler. */
	private static final int COPIES = 2;

	/** An object of a part of a body, in bytes on the heap. */
	private static final int PART_BYTES = 192;

	/** After so many parts an aggregated body is merged into one. */
	private static final int MAX_PARTS = 1024;

	private static final String NO_MEMORY = "{\"error\":{\"code\":\"overloaded\",\"message\":\"Callers hold too much memory.\"}}";

	private final MemoryShare share;

	private ChannelHandlerContext context;

	private int parts;

	private boolean refused;

	private volatile State state = State.UNSENT;

	RequestMeter(MemoryBudget budget) {
		this.share = budget.open(this);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		added.channel().closeFuture().addListener((closed) -> this.share.close());
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object message) {
		if (this.refused) {
			ReferenceCountUtil.release(message);
			return;
		}
		charge(message);
		// The charge may have made the budget refuse this request.
		if (message instanceof LastHttpContent && !this.share.admitted()) {
			refuse();
		}
		if (this.refused) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (message instanceof LastHttpContent) {
			this.state = State.SENT;
		}
		from.fireChannelRead(message);
	}

	private void charge(Object message) {
		long bytes = 0;
		if (message instanceof HttpRequest head) {
			bytes += (long) KeptBytes.FIELD_BYTES * head.headers().size();
			bytes += head.headers()
				.entries()
				.stream()
				.mapToInt((field) -> field.getKey().length() + field.getValue().length())
				.sum();
		}
		if (message instanceof HttpContent content) {
			bytes += (long) COPIES * content.content().readableBytes();
			bytes += (this.parts++ < MAX_PARTS) ? PART_BYTES : 0;
		}
		this.share.add(MemoryShare.Use.REQUEST, bytes);
	}

	/** Ends the account of the current request, which was answered. */
	void requestEnded() {
		this.parts = 0;
		this.state = State.UNSENT;
		this.share.set(MemoryShare.Use.REQUEST, 0);
	}

	@Override
	public State state() {
		return this.state;
	}

	@Override
	public void shed() {
		if (this.context.executor().inEventLoop()) {
			refuse();
		}
		else {
			this.context.executor().execute(this::refuse);
		}
	}

	private void refuse() {
		if (this.refused || this.state != State.UNSENT) {
			this.share.recovered();
			return;
		}
		this.refused = true;
		this.context.fireUserEventTriggered(
				new ClosingReply(Reply.json(503, NO_MEMORY).with("whin-outcome", "not-run").with("retry-after", "1")));
		// Releases what was aggregated.
		if (this.context.pipeline().get(BodyAggregator.class) != null) {
			this.context.pipeline().remove(BodyAggregator.class);
		}
		this.share.set(MemoryShare.Use.REQUEST, 0);
	}

}
