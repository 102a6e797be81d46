package io.whinjunction.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.whinjunction.forward.RequestFingerprint;
import io.whinjunction.http.server.HeadRules;

/**
 * One caller's connection: its requests one after the other, their answers in the same
 * order.
 * <p>
 * Invariants: an answer is written only while its request is the current one, whole or
 * with its connection ended; the rest of a body whose request was answered early is read
 * and dropped before the next request. Confined to the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Requests that may wait behind the current one; a caller that sends more is cut. */
	private static final int MOST_WAITING_OBJECTS = 256;

	private final RouterContext router;

	private final Deque<HttpObject> waiting = new ArrayDeque<>();

	private Channel channel;

	private ForwardSession session;

	private boolean bodyOpen;

	private boolean answered = true;

	private boolean keepAlive = true;

	private boolean headRequest;

	private boolean closing;

	private long quietSinceMs;

	CallerConnection(RouterContext router) {
		this.router = router;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.quietSinceMs = this.router.nowMs();
		this.router.callers().add(this);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.quietSinceMs = this.router.nowMs();
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		HttpObject object = (HttpObject) message;
		if (this.answered || this.waiting.isEmpty() && (this.bodyOpen || !(object instanceof HttpRequest))) {
			process(object);
		}
		else if (this.waiting.size() < MOST_WAITING_OBJECTS) {
			this.waiting.add(object);
		}
		else {
			ReferenceCountUtil.release(message);
			logger.atWarning().log("event=caller-cut reason=too-many-waiting");
			this.channel.close();
		}
	}

	private void process(HttpObject object) {
		try {
			if (object instanceof HttpRequest head) {
				begin(head);
			}
			if (object instanceof HttpContent content) {
				takeBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(object);
		}
	}

	private void begin(HttpRequest head) {
		this.answered = false;
		this.bodyOpen = true;
		this.headRequest = HttpMethod.HEAD.equals(head.method());
		this.keepAlive = HttpUtil.isKeepAlive(head);
		Optional<String> problem = HeadRules.problem(head);
		if (problem.isPresent()) {
			refuseHead(head, problem.get());
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		this.session = new ForwardSession(this.router, this, this.router.dialect().callerRequest(head),
				HttpUtil.getContentLength(head, -1L));
		this.session.start();
	}

	private void refuseHead(HttpRequest head, String problem) {
		HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
		if (head.decoderResult().isFailure() && String.valueOf(head.decoderResult().cause()).contains("TooLong")) {
			status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
		}
		logger.atInfo().log("event=refused-head status=%d reason=\"%s\"", status.code(), problem);
		this.keepAlive = false;
		this.closing = true;
		respond(Answer.error(status, problem));
	}

	private void takeBody(HttpContent content) {
		if (!this.bodyOpen) {
			return;
		}
		if (content.decoderResult().isFailure()) {
			logger.atInfo().log("event=caller-cut reason=bad-body");
			this.channel.close();
			return;
		}
		if (this.session != null && content.content().isReadable()) {
			this.session.onBody(content.content());
		}
		if (content instanceof LastHttpContent) {
			this.bodyOpen = false;
			if (this.session != null) {
				this.session.onBodyEnd();
			}
			next();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		context.flush();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.session != null) {
			this.session.onCallerWritable(context.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.router.callers().remove(this);
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		ForwardSession gone = this.session;
		this.session = null;
		if (gone != null) {
			gone.onCallerGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.atFine().withCause(cause).log("event=caller-failed");
		context.close();
	}

	/**
	 * Writes a whole answer.
	 * @param answer the answer
	 */
	void respond(Answer answer) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(),
				this.headRequest ? Unpooled.EMPTY_BUFFER : answer.body());
		response.headers().set(answer.headers());
		if (!this.headRequest || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().readableBytes());
		}
		finish(response, response.headers());
	}

	/**
	 * Writes the head of an answer whose body follows in chunks.
	 * @param status the status
	 * @param headers the headers without framing
	 */
	void beginAnswer(HttpResponseStatus status, HttpHeaders headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		sayWhetherKept(response.headers());
		this.channel.write(response);
	}

	/**
	 * Writes a piece of the body; {@link #flush()} sends it.
	 * @param content the piece, whose ownership passes on
	 */
	void writeBody(ByteBuf content) {
		this.channel.write(new DefaultHttpContent(content));
	}

	/** Sends what was written. */
	void flush() {
		this.channel.flush();
	}

	/** Ends an answer in chunks as complete. */
	void endAnswer() {
		finish(LastHttpContent.EMPTY_LAST_CONTENT, null);
	}

	/** Ends the connection, so that the answer can't look complete. */
	void abort() {
		this.session = null;
		this.answered = true;
		this.closing = true;
		// Behind what was written, so that the caller gets all of it first.
		this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	boolean writable() {
		return this.channel.isWritable();
	}

	/**
	 * Lets the caller send, or makes it wait.
	 * @param reading whether it may send
	 */
	void reading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	/**
	 * Ends the connection where it has been quiet for too long.
	 * @param nowMs the time
	 * @param idleMs how long it may be quiet between or within requests
	 */
	void closeIfInactive(long nowMs, long idleMs) {
		boolean waitingForUs = !this.answered && !this.bodyOpen;
		if (!waitingForUs && nowMs - this.quietSinceMs > idleMs) {
			this.channel.close();
		}
	}

	/** Ends the connection where no request is on it: this process stops. */
	void closeIfIdle() {
		if (this.answered && !this.bodyOpen) {
			this.channel.close();
		}
	}

	/**
	 * This process ends: the caller gets an answer, or the visible end of one.
	 * @return whether an answer was cut
	 */
	boolean onRouterExit() {
		return this.session != null && this.session.onRouterExit();
	}

	/**
	 * Gives the current request up where it crashes upstreams and has no answer yet.
	 * @param crashes which requests do
	 */
	void giveUpWhere(Predicate<RequestFingerprint> crashes) {
		if (this.session != null && this.session.fingerprint() != null && crashes.test(this.session.fingerprint())) {
			this.session.onCrashesUpstreams();
		}
	}

	/**
	 * How long the current request has taken so far.
	 * @param family the requests that are meant
	 * @return milliseconds; -1 where there is none of them
	 */
	long inProgressMs(StopAdmission.Family family) {
		boolean one = this.session != null && this.session.service() != null && this.session.family().equals(family);
		return one ? this.router.nowMs() - this.session.startedMs() : -1;
	}

	/**
	 * Whether the caller still waits for an answer, or for the rest of one that it takes
	 * slowly.
	 * @return whether this process can't end yet
	 */
	boolean busy() {
		return !this.answered || (this.closing && this.channel.isActive());
	}

	private void finish(Object message, HttpHeaders headers) {
		this.session = null;
		if (headers != null) {
			sayWhetherKept(headers);
		}
		this.quietSinceMs = this.router.nowMs();
		boolean close = this.closing || !this.keepAlive || lastOfStop();
		if (close) {
			this.closing = true;
			this.answered = true;
			this.channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		this.channel.writeAndFlush(message);
		this.answered = true;
		next();
	}

	private void sayWhetherKept(HttpHeaders headers) {
		if (!this.keepAlive || this.closing || lastOfStop()) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			this.keepAlive = false;
		}
	}

	// A request that was read behind the current one gets its answer before the
	// connection ends.
	private boolean lastOfStop() {
		return this.router.stopping() && this.waiting.isEmpty();
	}

	private void next() {
		while (this.answered && !this.bodyOpen && !this.closing && !this.waiting.isEmpty()) {
			process(this.waiting.poll());
			while (this.bodyOpen && !this.waiting.isEmpty() && !(this.waiting.peek() instanceof HttpRequest)) {
				process(this.waiting.poll());
			}
		}
	}

}
