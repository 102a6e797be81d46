package io.whinjunction.router;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.whinjunction.forward.RequestIdentity;
import io.whinjunction.http.server.RequestHeadValidator;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.memory.MemoryShare;
import io.whinjunction.routing.CallerLimits;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * Serves the connection of one caller, or of a peer that has requests of its callers
 * sent: its requests one after the other, with the answers in the same order.
 * <p>
 * Invariants: an answer is written only while its request is the current one, and either
 * completely or followed by the close of the connection; the rest of a body whose request
 * was answered early is read and dropped before the next request. Confined to the event
 * loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AcceptedConnection.Requests {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int LOG_INTERVAL_S = 1;

	private final RouterContext router;

	private final AcceptedConnection accepted;

	private final boolean ofPeer;

	private Channel channel;

	private ForwardSession session;

	private boolean bodyOpen;

	/** Bytes of the body that were read after the answer. */
	private long droppedBytes;

	private boolean answered = true;

	private boolean keepAlive = true;

	private boolean headRequest;

	/** Whether the caller knows chunks, which HTTP/1.0 does not have. */
	private boolean knowsChunks = true;

	/** Whether chunks are framed here and pass by the HTTP library's encoder. */
	private boolean framesChunks;

	/** Writes behind the HTTP library's encoder. */
	private ChannelHandlerContext encoder;

	private boolean closing;

	private UntakenAnswers untaken;

	private long answeredAtMs;

	/**
	 * Creates the handler of a new connection.
	 * @param router the components of this process
	 * @param accepted the connection
	 * @param ofPeer whether a peer connected, to have requests of its callers sent
	 */
	CallerConnection(RouterContext router, AcceptedConnection accepted, boolean ofPeer) {
		this.router = router;
		this.accepted = accepted;
		this.ofPeer = ofPeer;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.untaken = new UntakenAnswers(this.channel, this.router.bufferedAnswers(), share());
		this.encoder = context.pipeline().context(HttpResponseEncoder.class);
		this.answeredAtMs = this.router.nowMs();
		this.router.callers().add(this);
		this.accepted.serve(this);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		process((HttpObject) message);
	}

	@Override
	public boolean takesNext() {
		return !this.closing && (this.bodyOpen || this.answered && writable());
	}

	@Override
	public boolean awaitsHead() {
		return this.answered && !this.bodyOpen && !this.closing;
	}

	@Override
	public long activeAtMs() {
		return this.answeredAtMs;
	}

	@Override
	public MemoryBudget.Holder.State state() {
		if (this.session != null && this.session.unsent()) {
			return MemoryBudget.Holder.State.UNSENT;
		}
		if (this.session != null && this.session.unpassedBytes() > MemoryBudget.SMALL_BYTES) {
			return MemoryBudget.Holder.State.UNPASSED;
		}
		if (this.untaken.chargedBytes() > 0) {
			return MemoryBudget.Holder.State.UNTAKEN;
		}
		return this.answered ? MemoryBudget.Holder.State.UNSENT : MemoryBudget.Holder.State.SENT;
	}

	@Override
	public void shed() {
		if (this.session != null && this.session.unsent()) {
			this.session.onNoMemory();
		}
		else if (this.session != null && this.session.unpassedBytes() > MemoryBudget.SMALL_BYTES) {
			this.session.onNoMemoryForAnswer();
		}
		else {
			this.channel.close();
		}
	}

	/**
	 * Charges what the current request holds beside its head.
	 * @param bytes what it takes, in bytes
	 */
	void hold(long bytes) {
		this.accepted.share().set(MemoryShare.Use.REQUEST, this.accepted.decoder().headBytes() + bytes);
	}

	/**
	 * Returns whether the current request may be sent, after which it holds its memory to
	 * its end.
	 * @return {@code false} if callers hold too much
	 */
	boolean admitted() {
		return this.accepted.share().admitted();
	}

	MemoryShare share() {
		return this.accepted.share();
	}

	// The rest of a body whose request was answered may be without end.
	@Override
	public boolean dropsBody() {
		return this.answered && this.bodyOpen;
	}

	@Override
	public boolean awaitsCaller() {
		return this.answered || this.bodyOpen;
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
		this.droppedBytes = 0;
		this.headRequest = HttpMethod.HEAD.equals(head.method());
		this.keepAlive = HttpUtil.isKeepAlive(head);
		this.knowsChunks = !HttpVersion.HTTP_1_0.equals(head.protocolVersion());
		Optional<String> problem = RequestHeadValidator.problem(head);
		if (problem.isPresent()) {
			refuseHead(head, problem.get());
			return;
		}
		Optional<RelayHeaders.Origin> origin = RelayHeaders.take(head.headers());
		if (this.ofPeer && origin.isEmpty()) {
			refuseHead(head, "headers of a relayed request are missing or invalid");
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		ForwardSession begun = new ForwardSession(this.router, this, this.router.dialect().callerRequest(head),
				HttpUtil.getContentLength(head, -1L), this.ofPeer ? origin : Optional.empty());
		this.session = begun;
		hold(0);
		// The request may be refused at once, as callers hold too much.
		if (this.session == begun) {
			begun.start();
		}
	}

	private CallerLimits limits() {
		RoutingConfiguration configuration = this.router.configuration();
		return (configuration != null) ? configuration.limits() : CallerLimits.DEFAULT;
	}

	private void refuseHead(HttpRequest head, String problem) {
		HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
		if (head.decoderResult().isFailure() && String.valueOf(head.decoderResult().cause()).contains("TooLong")) {
			status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
		}
		logger.atInfo()
			.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
			.log("event=refused-head status=%d reason=\"%s\"", status.code(), problem);
		this.keepAlive = false;
		this.closing = true;
		this.accepted.decoder().drop();
		respond(Answer.error(status, problem));
	}

	private void takeBody(HttpContent content) {
		if (!this.bodyOpen) {
			return;
		}
		if (content.decoderResult().isFailure()) {
			logger.atInfo().atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS).log("event=caller-cut reason=bad-body");
			this.channel.close();
			return;
		}
		if (this.session != null && content.content().isReadable()) {
			this.session.onBody(content.content());
		}
		else {
			this.droppedBytes += content.content().readableBytes();
			if (this.droppedBytes > limits().maxBodyBytes()) {
				logger.atInfo()
					.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
					.log("event=caller-cut reason=endless-body");
				this.channel.close();
				return;
			}
		}
		if (content instanceof LastHttpContent) {
			this.bodyOpen = false;
			if (this.session != null) {
				this.session.onBodyEnd();
			}
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		context.flush();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (writable()) {
			this.untaken.update();
		}
		if (this.session != null) {
			this.session.onCallerWritable(writable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.router.callers().remove(this);
		this.untaken.update();
		ForwardSession gone = this.session;
		this.session = null;
		if (gone != null) {
			gone.onCallerGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			logger.atWarning()
				.withCause(cause)
				.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
				.log("event=caller-failed");
		}
		context.close();
	}

	/**
	 * Writes a complete answer.
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
	 * Writes the head of an answer whose body follows in pieces.
	 * @param status the status
	 * @param headers the headers without framing
	 */
	void beginAnswer(HttpResponseStatus status, HttpHeaders headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		if (this.knowsChunks) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		else {
			this.keepAlive = false;
		}
		setConnectionHeader(response.headers());
		// The encoder knows which status allows no body.
		this.framesChunks = this.knowsChunks && HttpResponseStatus.OK.equals(status);
		this.untaken.wrote(this.channel.write(response));
	}

	/**
	 * Writes a chunk of the body; {@link #flush()} sends it.
	 * @param content the chunk, whose ownership passes on
	 */
	void writeBody(ByteBuf content) {
		if (!this.framesChunks) {
			this.untaken.wrote(this.channel.write(new DefaultHttpContent(content)));
			return;
		}
		try {
			if (content.isReadable()) {
				this.untaken.wrote(this.encoder.write(ChunkWriter.chunk(this.encoder.alloc(), content)));
			}
		}
		finally {
			content.release();
		}
	}

	void flush() {
		this.encoder.flush();
		this.untaken.flushed();
	}

	/** Completes an answer that is sent in pieces. */
	void endAnswer() {
		finish(LastHttpContent.EMPTY_LAST_CONTENT, null);
	}

	/** Closes the connection, so that the answer cannot look complete. */
	void abort() {
		this.session = null;
		this.answered = true;
		this.closing = true;
		this.accepted.decoder().drop();
		if (!this.knowsChunks) {
			// The orderly end of the connection would complete the answer.
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		closeAfterWrites();
	}

	boolean writable() {
		return this.channel.isWritable();
	}

	/**
	 * Looks whether the caller is still connected. Must not be called while this
	 * connection is being read.
	 * @return {@code false} if the caller has closed or reset the connection
	 */
	boolean connected() {
		return this.accepted.connected();
	}

	/**
	 * Turns reading from the caller on or off for a request. Only the current one is
	 * heeded, and reading is on again after its end: an attempt may learn of that end
	 * later.
	 * @param request the request whose body is read
	 * @param reading whether to read
	 */
	void reading(ForwardSession request, boolean reading) {
		if (request == this.session) {
			this.accepted.readBody(reading);
		}
	}

	/**
	 * Closes the connection if no request is in progress on it, as this process is
	 * stopping; what was answered is delivered first.
	 */
	void closeIfIdle() {
		if (this.answered && !this.bodyOpen && !this.closing && !sentAhead()) {
			this.closing = true;
			closeAfterWrites();
		}
	}

	private void closeAfterWrites() {
		this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	/**
	 * Ends the current request as this process exits: the caller gets an answer, or an
	 * answer that has begun is visibly cut.
	 * @return whether an answer was cut
	 */
	boolean onRouterExit() {
		boolean undelivered = this.untaken.unwrittenBytes() > 0;
		return (this.session != null) ? this.session.onRouterExit() : undelivered;
	}

	/**
	 * Fails the current request if it crashes upstreams and has no answer yet.
	 * @param crashes matches requests that crash upstreams
	 */
	void giveUpIf(Predicate<RequestIdentity> crashes) {
		if (this.session != null && this.session.identity() != null && crashes.test(this.session.identity())) {
			this.session.onCrashesUpstreams();
		}
	}

	/**
	 * Hands the current request to a peer if it waits for an upstream from which this
	 * router is cut off.
	 * @param service the service that this router does not reach
	 */
	void onCutOff(String service) {
		if (this.session != null) {
			this.session.onCutOff(service);
		}
	}

	/**
	 * Returns how long the current request has taken so far.
	 * @param family the family that the request has to belong to
	 * @return milliseconds; -1 if there is no current request of the family
	 */
	long inProgressMs(StopAdmission.Family family) {
		boolean one = this.session != null && this.session.service() != null && this.session.family().equals(family);
		return one ? this.router.nowMs() - this.session.startedMs() : -1;
	}

	/**
	 * Whether the current answer has begun and waits to be resumed at an upstream.
	 * @return {@code false} if there is none
	 */
	boolean waitsToResume() {
		return this.session != null && this.session.waitsToResume();
	}

	/**
	 * Whether the caller still awaits an answer or is still receiving one.
	 * @return whether this process has to wait for this connection before it exits
	 */
	boolean busy() {
		return !this.answered || sentAhead() || (this.closing && this.channel.isActive());
	}

	private void finish(Object message, HttpHeaders headers) {
		this.session = null;
		this.accepted.share().set(MemoryShare.Use.REQUEST, 0);
		if (headers != null) {
			setConnectionHeader(headers);
		}
		this.answeredAtMs = this.router.nowMs();
		boolean close = this.closing || !this.keepAlive || closesForStop();
		this.closing = close;
		if (close) {
			this.accepted.decoder().drop();
		}
		ChannelFuture writing = this.channel.writeAndFlush(message);
		this.untaken.wrote(writing);
		if (close) {
			writing.addListener(ChannelFutureListener.CLOSE);
		}
		this.answered = true;
		this.untaken.flushed();
		if (!close) {
			// The request may have stopped the reading of its body.
			this.accepted.readBody(true);
			this.accepted.next();
		}
	}

	private void setConnectionHeader(HttpHeaders headers) {
		if (!this.keepAlive || this.closing || closesForStop()) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			this.keepAlive = false;
		}
	}

	// A request that was queued behind the current one gets its answer before the
	// connection is closed.
	private boolean closesForStop() {
		return this.router.stopping() && !this.accepted.decoder().hasUndecoded();
	}

	// A request that was received while the caller had not taken the answer before it.
	private boolean sentAhead() {
		return !writable() && this.accepted.decoder().hasUndecoded();
	}

}
