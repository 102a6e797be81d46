package io.whinjunction.router;

import java.io.IOException;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to an upstream, which carries one request at a time.
 * <p>
 * The failures it is there for: an upstream sends more than the answer it owes, and the
 * surplus would be read as the next request's answer; or a late answer to an earlier
 * request stands where the next is expected. Bytes on an idle connection end it. An
 * answer that names another request is passed over, since the request on the way gets its
 * own after it.
 * <p>
 * Invariants: a listener hears of answers to its own request only; a connection goes back
 * to the pool only after the whole request was written and the whole answer read.
 * Confined to the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final UpstreamPool pool;

	private final Upstream upstream;

	private final Dialect dialect;

	private Channel channel;

	private UpstreamListener listener;

	private String requestId;

	private boolean requestWritten;

	private boolean passingOver;

	private boolean headRead;

	private boolean keepAlive;

	private boolean failed;

	private long keepAliveMs = -1;

	private long idleSinceMs;

	UpstreamConnection(UpstreamPool pool, Upstream upstream, Dialect dialect) {
		this.pool = pool;
		this.upstream = upstream;
		this.dialect = dialect;
	}

	Upstream upstream() {
		return this.upstream;
	}

	Channel channel() {
		return this.channel;
	}

	void attach(Channel channel) {
		this.channel = channel;
	}

	boolean usable(long nowMs, long mostIdleMs) {
		long limitMs = (this.keepAliveMs >= 0) ? Math.min(mostIdleMs, this.keepAliveMs / 2) : mostIdleMs;
		return this.channel.isActive() && nowMs - this.idleSinceMs < limitMs;
	}

	void idleSince(long nowMs) {
		this.idleSinceMs = nowMs;
	}

	/**
	 * Takes the connection for one request.
	 * @param id the request
	 * @param listener hears of its answer
	 */
	void begin(String id, UpstreamListener listener) {
		this.requestId = id;
		this.listener = listener;
		this.requestWritten = false;
		this.passingOver = false;
		this.headRead = false;
		this.keepAlive = false;
		this.channel.config().setAutoRead(true);
	}

	/** The last byte of the request was handed over. */
	void requestWritten() {
		this.requestWritten = true;
	}

	/**
	 * Gives the request up: the connection ends at once, which tells the upstream to
	 * stop.
	 */
	void abandon() {
		this.listener = null;
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (message instanceof HttpObject object) {
				read(object);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject object) {
		if (object.decoderResult().isFailure()) {
			breakOff("bytes that are no answer: " + object.decoderResult().cause().getMessage(), false);
			return;
		}
		if (this.listener == null) {
			logger.atWarning().log("event=surplus upstream=%s address=%s", this.upstream.id(), this.upstream.address());
			this.channel.close();
			return;
		}
		if (object instanceof HttpResponse response) {
			readHead(response);
		}
		if (object instanceof HttpContent content) {
			readContent(content);
		}
	}

	private void readHead(HttpResponse response) {
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.passingOver = true;
			return;
		}
		UpstreamHead head = this.dialect.upstreamHead(response);
		if (!this.requestId.equals(head.requestId())) {
			logger.atWarning()
				.log("event=foreign-answer request=%s answers=%s upstream=%s", this.requestId, head.requestId(),
						this.upstream.id());
			this.passingOver = true;
			return;
		}
		this.passingOver = false;
		this.headRead = true;
		this.keepAlive = HttpUtil.isKeepAlive(response)
				&& (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
		this.keepAliveMs = head.keepAliveMs();
		this.listener.onHead(head, response);
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.passingOver || !this.headRead) {
			this.passingOver = this.passingOver && !last;
			return;
		}
		if (this.listener != null && content.content().isReadable()) {
			this.listener.onContent(content.content());
		}
		if (last && !this.failed) {
			end();
		}
	}

	private void end() {
		UpstreamListener ended = this.listener;
		this.listener = null;
		// An answer may come before the whole request was read; the rest of the body
		// would then be taken for the next request.
		if (this.keepAlive && this.requestWritten && this.channel.isActive()) {
			this.pool.giveBack(this);
		}
		else {
			this.channel.close();
		}
		if (ended != null) {
			ended.onEnd();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.listener != null) {
			this.listener.onReadComplete();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.listener != null) {
			this.listener.onWritable(context.channel().isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// A reset also ends a body without a length, which must not look complete.
		this.failed = true;
		breakOff("connection failed: " + cause.getMessage(), cause instanceof IOException);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.failed = true;
		this.pool.forget(this);
		breakOff(this.headRead ? "connection ended within the answer" : "connection ended without an answer", true);
	}

	private void breakOff(String reason, boolean connectionEnded) {
		this.failed = true;
		UpstreamListener broken = this.listener;
		this.listener = null;
		this.channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
		if (broken != null) {
			broken.onBroken(reason, connectionEnded);
		}
	}

}
