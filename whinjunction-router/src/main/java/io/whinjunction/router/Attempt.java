package io.whinjunction.router;

import java.util.List;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.whinjunction.chain.Hop;
import io.whinjunction.forward.AttemptOutcome;
import io.whinjunction.routing.RequestKind;

/**
 * One send of a request to one upstream.
 * <p>
 * Invariants: its end is told once; from the moment at which a byte was handed to a
 * connected channel it counts as sent, and unless the upstream itself says otherwise, as
 * something that may have run. Confined to the event loop.
 */
final class Attempt implements UpstreamListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Answers up to this size are read whole before they are passed on, in bytes. */
	private static final int WHOLE_ANSWER_BYTES = 262_144;

	/**
	 * A request that crashes an upstream does so in its first steps there, before it has
	 * brought events for this long, in milliseconds.
	 */
	private static final long HARMLESS_AFTER_MS = 500;

	private final ForwardSession session;

	private Target target;

	/** The incarnation of the upstream that has the request; no detour changes it. */
	private final String first;

	private final EngineLoad load;

	private UpstreamConnection connection;

	private boolean sent;

	private boolean ended;

	private UpstreamHead head;

	private Answer answer;

	private boolean streaming;

	private boolean detouring;

	private int pieces;

	private long firstAtMs;

	private long progressAtMs;

	Attempt(ForwardSession session, Target target) {
		this.session = session;
		this.target = target;
		this.first = target.first().incarnation();
		this.load = new EngineLoad(session.router().directory(), target, session.request().promptTokens(),
				session.expectedTokens());
	}

	Target target() {
		return this.target;
	}

	boolean sent() {
		return this.sent;
	}

	/**
	 * Whether an upstream has the request and may answer it yet.
	 * @return {@code false} before it is sent and after its end
	 */
	boolean underWay() {
		return this.sent && !this.ended;
	}

	void start() {
		this.load.began();
		this.session.router().limits().sent(this.first);
		// A kept connection may end at the very moment at which a request is written to
		// it, and then nobody knows whether it ran. What must not be repeated gets a new
		// one, which costs a millisecond.
		boolean fresh = !this.session.route().repeatable();
		this.session.router().pool().acquire(this.target.first(), fresh, this::connected);
	}

	private void connected(UpstreamConnection connected) {
		if (this.ended) {
			if (connected != null) {
				connected.channel().close();
			}
			return;
		}
		if (connected == null) {
			notSent("no-connection");
			return;
		}
		UpstreamState state = this.session.router().directory().find(this.first);
		if (state == null || state.upstream().leaving()) {
			connected.channel().close();
			notSent("upstream-left");
			return;
		}
		if (!this.session.stillAllowed()) {
			connected.channel().close();
			notSent("unproved-keys");
			return;
		}
		// Connecting may take a while, and the process may have been suspended meanwhile.
		if (this.session.outlivesRouter()) {
			connected.channel().close();
			notSent("stopping");
			return;
		}
		this.connection = connected;
		send();
	}

	private void notSent(String reason) {
		this.session.history().notSentOnce();
		end(new AttemptOutcome.NotSent(reason), null);
	}

	private void send() {
		this.sent = true;
		this.progressAtMs = this.session.router().nowMs();
		if (!this.target.path().isEmpty()) {
			this.session.router().engineMonitor().add(this);
			this.load.readingBegan();
		}
		this.session.history().sentTo(this.first);
		CallerRequest request = this.session.request();
		this.connection.begin(request.id(), this);
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.add(request.forwarded());
		headers.set(HttpHeaderNames.HOST, request.host());
		this.session.router().dialect().addHandover(headers, handover());
		HttpMethod method = HttpMethod.valueOf(request.method());
		if (!this.session.body().passingThrough()) {
			sendWhole(method, headers);
		}
		else {
			sendBegin(method, headers);
		}
	}

	private Handover handover() {
		String lastEventId = this.session.request().lastEventId();
		if (this.session.answerBegun() && this.session.events().lastId() != null) {
			lastEventId = this.session.events().lastId();
		}
		return new Handover(this.target.first().id(), this.session.teamName(), this.session.leftMs(),
				this.session.priority(), this.target.path(), lastEventId);
	}

	private void sendWhole(HttpMethod method, HttpHeaders headers) {
		ByteBuf body = this.session.body().soFar();
		if (body.isReadable() || HttpMethod.POST.equals(method) || HttpMethod.PUT.equals(method)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method,
				this.session.request().uri(), Unpooled.unreleasableBuffer(body), headers, new DefaultHttpHeaders());
		this.connection.channel().writeAndFlush(message);
		this.connection.requestWritten();
	}

	private void sendBegin(HttpMethod method, HttpHeaders headers) {
		if (this.session.body().announcedBytes() >= 0) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.session.body().announcedBytes());
		}
		else {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		this.connection.channel()
			.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, this.session.request().uri(), headers));
		this.connection.channel()
			.writeAndFlush(new DefaultHttpContent(Unpooled.unreleasableBuffer(this.session.body().soFar())));
		this.session.caller().reading(true);
		if (this.session.body().ended()) {
			sendBodyEnd();
		}
	}

	/**
	 * Passes on a piece of a large body.
	 * @param content the piece, whose ownership passes on
	 */
	void sendBody(ByteBuf content) {
		if (!this.sent || this.ended) {
			// Not connected yet: the pieces wait behind those that were read already.
			this.session.body().hold(content);
			content.release();
			this.session.caller().reading(false);
			return;
		}
		this.connection.channel().writeAndFlush(new DefaultHttpContent(content));
		onWritable(this.connection.channel().isWritable());
	}

	/** The body of the request is whole. */
	void sendBodyEnd() {
		if (this.sent && !this.ended) {
			this.connection.channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
			this.connection.requestWritten();
		}
	}

	/**
	 * The mean pause between what comes of the stream.
	 * @return milliseconds; very large before the first event, when the prompt is read
	 */
	double usualGapMs() {
		return gapsKnown() ? (double) (this.progressAtMs - this.firstAtMs) / (this.pieces - 1) : Double.MAX_VALUE;
	}

	/**
	 * Whether enough events came to tell the pause between them.
	 * @return whether {@link #usualGapMs()} is a measured one
	 */
	boolean gapsKnown() {
		return this.pieces > 1;
	}

	/**
	 * How many times whole events came of the stream.
	 * @return the number; 0 where the answer is no stream
	 */
	int pieces() {
		return this.pieces;
	}

	int promptTokens() {
		return this.session.request().promptTokens();
	}

	/**
	 * When the last event came, or the request was sent.
	 * @return the time in milliseconds
	 */
	long progressAtMs() {
		return this.progressAtMs;
	}

	/**
	 * It waits for an engine that doesn't answer. Where the first engine lives and the
	 * rest of its failure domain still covers all layers, it is told of another path:
	 * only the new engines read what came so far, and no repeat is spent. A path through
	 * another failure domain would send the whole context over the pipe that all share,
	 * 26 ms each for fifty streams at once, so a stream rather begins anew there as a
	 * whole.
	 * @param address the engine
	 */
	void stalled(String address) {
		if (this.detouring) {
			return;
		}
		Hop first = this.target.path().getFirst();
		Optional<List<Hop>> detour = (this.pieces > 0 && !first.engine().address().equals(address))
				? this.session.detour(address, first) : Optional.empty();
		if (detour.isPresent() && Target.domainChanges(detour.get()) == 0) {
			order(address, detour.get());
		}
		else if (!this.session.moveElsewhere(address)) {
			detour.ifPresentOrElse((path) -> order(address, path), () -> this.session.onStalled(address));
		}
	}

	private void order(String address, List<Hop> path) {
		this.detouring = true;
		this.session.router()
			.engines()
			.repath(this.target.first().address(), this.session.request().id(), path,
					(reply) -> detoured(address, path, reply));
	}

	private void detoured(String address, List<Hop> path, OrderReply reply) {
		if (this.ended) {
			return;
		}
		logger.atInfo()
			.log("event=detour id=%s faulty=%s hops=%d reply=\"%s\"", this.session.request().id(), address, path.size(),
					reply);
		this.detouring = false;
		if (reply instanceof OrderReply.Accepted) {
			this.target = new Target(this.target.first(), path);
			this.load.moved(this.target);
			this.progressAtMs = this.session.router().nowMs();
		}
		else {
			this.session.onStalled(address);
		}
	}

	/** Gives the attempt up; the upstream is told by the end of its connection. */
	void abandon() {
		if (!this.ended) {
			settle();
			// What another attempt sends would be joined to an event that this one began.
			this.session.events().dropPartial();
			if (this.connection != null) {
				this.connection.abandon();
			}
		}
	}

	/**
	 * Lets the upstream send, or makes it wait.
	 * @param reading whether it may send
	 */
	void reading(boolean reading) {
		if (this.connection != null && !this.ended) {
			this.connection.channel().config().setAutoRead(reading);
		}
	}

	@Override
	public void onHead(UpstreamHead received, HttpResponse response) {
		this.head = received;
		this.session.router().limits().received(this.first, received);
		this.session.router().crashGuard().answered(this.first);
		HttpHeaders headers = HopHeaders.withoutThem(response.headers());
		boolean stream = this.session.route().kind() == RequestKind.STREAMING && received.success();
		this.streaming = stream && received.genuine();
		this.answer = new Answer(response.status(), headers, Unpooled.buffer(0));
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.ended) {
			return;
		}
		if (!this.streaming) {
			if (this.answer.body().readableBytes() + content.readableBytes() > WHOLE_ANSWER_BYTES && this.head.success()
					&& this.head.genuine()) {
				this.session.onEvents(this.answer, this.answer.body().readBytes(this.answer.body().readableBytes()));
				this.session.onEvents(this.answer, content.retain());
				return;
			}
			this.answer.body().writeBytes(content);
			return;
		}
		ByteBuf whole = this.session.events().take(content);
		if (whole != null) {
			this.progressAtMs = this.session.router().nowMs();
			if (this.pieces == 0) {
				this.firstAtMs = this.progressAtMs;
				this.load.readingEnded();
			}
			this.pieces++;
			this.session.router().crashGuard().answered(this.first);
			this.session.onEvents(this.answer, whole);
		}
	}

	@Override
	public void onPause() {
		if (!this.ended) {
			this.session.onPause();
		}
	}

	@Override
	public void onEnd() {
		if (this.ended) {
			return;
		}
		if (this.streaming) {
			endStream();
		}
		else if (this.head.notRun()) {
			end(new AttemptOutcome.NotRun("status-" + this.head.status()), this.head.faultyAddress());
		}
		else if (this.head.success() && !this.head.genuine()) {
			end(new AttemptOutcome.Unknown("not-genuine"), null);
		}
		else if (this.session.answerBegun()) {
			endLargeOrResumed();
		}
		else {
			endWhole();
		}
	}

	private void endStream() {
		if (this.session.events().partial()) {
			onBroken("the stream ended within an event", false);
			return;
		}
		settle();
		this.session.onStreamEnd(this.answer);
	}

	private void endLargeOrResumed() {
		if (this.head.success()) {
			settle();
			this.session.onEvents(this.answer, this.answer.body());
			this.session.onStreamEnd(this.answer);
		}
		else {
			end(new AttemptOutcome.Failed("status-" + this.head.status()), this.head.faultyAddress());
		}
	}

	private void endWhole() {
		settle();
		boolean failure = this.head.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
		if (failure && this.session.route().repeatable()) {
			this.session.onFailedAnswer(this.answer);
		}
		else {
			this.session.onAnswer(this.answer);
		}
	}

	@Override
	public void onBroken(String reason, boolean connectionEnded) {
		if (this.ended) {
			return;
		}
		this.session.events().dropPartial();
		settle();
		boolean refused = this.head != null && this.head.notRun();
		if (connectionEnded && !refused) {
			judgeCrash();
		}
		this.session.onAttemptEnd(refused ? new AttemptOutcome.NotRun(reason) : new AttemptOutcome.Unknown(reason),
				(this.head != null) ? this.head.faultyAddress() : null);
	}

	// The upstream may have ended under the request, unless this ran there for a while.
	private void judgeCrash() {
		if (this.pieces > 0 && this.session.router().nowMs() - this.firstAtMs >= HARMLESS_AFTER_MS) {
			this.session.ranWell();
		}
		else {
			this.session.upstreamEnded(this.target.first(), this.streaming && this.pieces == 0);
		}
	}

	@Override
	public void onWritable(boolean writable) {
		if (this.session.body().passingThrough() && !this.session.body().ended()) {
			this.session.caller().reading(writable);
		}
	}

	private void end(AttemptOutcome end, String faultyAddress) {
		settle();
		this.session.onAttemptEnd(end, faultyAddress);
	}

	private void settle() {
		this.ended = true;
		this.session.router().engineMonitor().remove(this);
		this.load.readingEnded();
		this.load.ended();
	}

}
