package io.whinjunction.router;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

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
import io.netty.util.ReferenceCountUtil;
import io.whinjunction.availability.UpstreamNotice;
import io.whinjunction.chain.Hop;
import io.whinjunction.forward.AttemptOutcome;
import io.whinjunction.forward.RetryObstacle;
import io.whinjunction.memory.MemoryShare;
import io.whinjunction.routing.RequestKind;

/**
 * Sends a request once, to one upstream or to a peer that relays it, and handles the
 * response.
 * <p>
 * Invariants: the end is reported exactly once; from the moment a byte was written to a
 * connected channel the attempt counts as sent, and as one that may have run unless the
 * receiver itself states otherwise. Confined to the event loop.
 */
final class Attempt implements UpstreamListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The longest answer without success, in bytes: it is buffered, as it may be replaced
	 * by the answer to another attempt.
	 */
	private static final int MAX_FAILURE_BYTES = 1 << 20;

	/**
	 * How long a request must have produced events before it counts as harmless, in
	 * milliseconds. A request that crashes an upstream does so in its first steps there.
	 */
	private static final long HARMLESS_AFTER_MS = 500;

	/**
	 * The shortest time between two searches for another path of one stalled stream, in
	 * milliseconds.
	 */
	private static final long STALLED_INTERVAL_MS = 100;

	/**
	 * How long a stream that has begun, and any other request, is quiet in a cut before
	 * it is handed to a peer, in milliseconds.
	 */
	private static final long MAX_QUIET_BEGUN_MS = 120;

	private static final long MAX_QUIET_MS = 300;

	private final ForwardSession session;

	private Target target;

	/**
	 * The incarnation of the upstream that has the request; a detour does not change it.
	 */
	private final String first;

	/** The number of this attempt among those of its request. */
	private final int number;

	private final AttemptLoad load;

	private final RetryGrant grant;

	private UpstreamConnection connection;

	/** Whether a connection, if it is acquired now, was waited for. */
	private boolean waited;

	private boolean sent;

	private boolean foundEnded;

	private boolean withheld;

	private boolean ended;

	private UpstreamHead head;

	/** What the relay says about the request; {@code null} for an upstream's answer. */
	private RelayHeaders.Outcome relayOutcome;

	private int sentByRelay;

	/** The upstreams that the relay names in its answer. */
	private Set<String> upstreamsOfRelay = Set.of();

	private Answer answer;

	private boolean streaming;

	/** Whether the answer is passed on as it arrives, without events. */
	private boolean passedOn;

	private boolean detouring;

	private boolean detourRejected;

	private long stalledAtMs = Long.MIN_VALUE / 2;

	private int eventBatches;

	private long sentAtMs;

	private long headAtMs;

	private long firstAtMs;

	private long progressAtMs;

	private boolean ranWell;

	/** What the connection keeps of a response that is not complete, in bytes. */
	private long keptBytes;

	/** What was charged last for the upstream, in bytes. */
	private long chargedBytes;

	/**
	 * Creates an attempt that has not started.
	 * @param session the request
	 * @param target the upstream or the peer
	 * @param grant what the retry budget granted; ended by this attempt
	 * @param number the number of this attempt among those of the request
	 */
	Attempt(ForwardSession session, Target target, RetryGrant grant, int number) {
		this.session = session;
		this.number = number;
		this.target = target;
		this.grant = grant;
		this.first = target.first().incarnation();
		this.load = new AttemptLoad(session.router().directory(), session.service().model(), target,
				session.request().promptTokens(), session.expectedTokens());
	}

	Target target() {
		return this.target;
	}

	boolean sent() {
		return this.sent;
	}

	/**
	 * Whether the request was sent to an upstream and may still be answered.
	 * @return {@code false} before it is sent and after the attempt ended
	 */
	boolean underWay() {
		return this.sent && !this.ended;
	}

	/**
	 * Returns how far the attempt has come.
	 * @return the phase of a request whose attempt is under way
	 */
	RequestPhase phase() {
		if (!this.sent) {
			return RequestPhase.CONNECTING;
		}
		return (this.head != null) ? RequestPhase.ANSWERING : RequestPhase.UNANSWERED;
	}

	/**
	 * Returns when the request was written.
	 * @return the time in milliseconds; meaningless before {@link #sent()}
	 */
	long sentAtMs() {
		return this.sentAtMs;
	}

	/**
	 * Whether this router itself did not send the request over an established connection.
	 * @return whether it did not, which is no evidence against the upstream
	 */
	boolean withheld() {
		return this.withheld;
	}

	/**
	 * Whether the attempt brought the request further, so that the next one need not
	 * wait.
	 * @return whether an event arrived, or the upstream was found to have ended
	 */
	boolean progressed() {
		return this.eventBatches > 0 || this.foundEnded;
	}

	void start() {
		this.load.began(!this.session.body().passingThrough());
		switch (this.target) {
			case Target.Direct direct -> this.session.router().limits().sent(this.first);
			case Target.Relay relay -> this.session.router().relays().began(this);
		}
		// A pooled connection may close at the very moment at which a request is written
		// to it, which leaves unknown whether the request ran. A request that must not be
		// repeated gets a new connection, which costs a millisecond.
		boolean fresh = !this.session.route().repeatable();
		this.session.router().pool().acquire(this.target.first(), fresh, this.session.maxConnectMs(), this::acquired);
		this.waited = true;
	}

	private void acquired(Acquisition acquisition) {
		switch (acquisition) {
			case Acquisition.Connected connected -> connected(connected.connection());
			case Acquisition.Refused refused -> {
				if (judgesUpstream()) {
					this.foundEnded = this.session.history().recordRefused(this.first);
				}
				notConnected();
			}
			case Acquisition.Failed failed -> notConnected();
		}
	}

	// A connection that this router can't make says nothing about the upstream while its
	// own paths are in doubt.
	private boolean judgesUpstream() {
		return this.target instanceof Target.Direct
				&& this.session.router().reachability().of(this.session.service().name()).judgesUpstreams();
	}

	private void notConnected() {
		if (!this.ended) {
			notSent("no-connection");
		}
	}

	private void connected(UpstreamConnection connected) {
		if (this.ended) {
			connected.channel().close();
			return;
		}
		Optional<String> problem = (this.target instanceof Target.Direct) ? problemOfUpstream() : Optional.empty();
		if (problem.isPresent()) {
			withhold(connected, problem.get());
			return;
		}
		// Connecting takes time, and the process may have been suspended meanwhile.
		if (this.session.outlivesRouter()) {
			withhold(connected, "stopping");
			return;
		}
		if (this.waited && !this.session.callerWaits()) {
			connected.channel().close();
			return;
		}
		this.connection = connected;
		send();
	}

	// A relay checks this itself when it sends the request.
	private Optional<String> problemOfUpstream() {
		UpstreamState state = this.session.router().directory().find(this.first);
		if (state == null || state.leaving()) {
			return Optional.of("upstream-left");
		}
		if (this.session.router().availability().backingOff(this.first)) {
			return Optional.of("upstream-backoff");
		}
		if (this.session.foundToCrash()) {
			return Optional.of(RetryObstacle.CRASHES_UPSTREAMS.logName());
		}
		return this.session.stillAllowed() ? Optional.empty() : Optional.of("unproved-keys");
	}

	private void withhold(UpstreamConnection connected, String reason) {
		this.withheld = true;
		connected.channel().close();
		notSent(reason);
	}

	private void notSent(String reason) {
		this.grant.giveBack();
		this.session.history().recordNotSent();
		end(new AttemptOutcome.NotSent(reason), null);
	}

	private void send() {
		this.sent = true;
		this.sentAtMs = this.session.router().nowMs();
		this.progressAtMs = this.sentAtMs;
		if (!this.target.path().isEmpty()) {
			this.session.router().engineMonitor().add(this);
			if (!this.session.body().passingThrough()) {
				this.load.readingBegan();
			}
		}
		CallerRequest request = this.session.request();
		HttpMethod method = HttpMethod.valueOf(request.method());
		this.connection.begin(request.id(), HttpMethod.HEAD.equals(method), this);
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.add(request.forwarded());
		headers.set(HttpHeaderNames.HOST, request.host());
		switch (this.target) {
			case Target.Direct direct -> {
				this.session.history().recordSent(this.first);
				this.session.router().dialect().addForwardingHeaders(headers, forwardingContext());
			}
			case Target.Relay relay -> {
				this.session.router()
					.dialect()
					.addCallerHeaders(headers, request.key(), this.session.leftMs(), lastEventId());
				RelayHeaders.add(headers, this.session.forRelay());
			}
		}
		if (!this.session.body().passingThrough()) {
			sendBuffered(method, headers);
		}
		else {
			sendStreamed(method, headers);
		}
	}

	private ForwardingContext forwardingContext() {
		return new ForwardingContext(this.target.first().id(), this.session.teamName(), this.session.leftMs(),
				this.session.priority(), this.target.path(), lastEventId());
	}

	private String lastEventId() {
		boolean resumes = this.session.answerBegun() && this.session.events().lastId() != null;
		return resumes ? this.session.events().lastId() : this.session.request().lastEventId();
	}

	private void sendBuffered(HttpMethod method, HttpHeaders headers) {
		ByteBuf body = this.session.body().buffered();
		if (body.isReadable() || HttpMethod.POST.equals(method) || HttpMethod.PUT.equals(method)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method,
				this.session.request().uri(), Unpooled.unreleasableBuffer(body), headers, new DefaultHttpHeaders());
		this.connection.write(message);
		this.connection.requestWritten();
	}

	private void sendStreamed(HttpMethod method, HttpHeaders headers) {
		if (this.session.body().contentLength() >= 0) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.session.body().contentLength());
		}
		else {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		this.connection.channel()
			.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, this.session.request().uri(), headers));
		this.connection.write(new DefaultHttpContent(this.session.body().takeHeld()));
		this.session.readBody(true);
		if (this.session.body().ended()) {
			sendBodyEnd();
		}
	}

	/**
	 * Passes on a chunk of a large body.
	 * @param content the chunk, whose ownership passes on
	 */
	void sendBody(ByteBuf content) {
		if (!this.sent || this.ended) {
			this.session.holdBody(content);
			content.release();
			return;
		}
		this.connection.write(new DefaultHttpContent(content));
		onWritable(this.connection.channel().isWritable());
	}

	/** Completes the body of the request. */
	void sendBodyEnd() {
		if (this.sent && !this.ended) {
			this.load.hold();
			if (this.eventBatches == 0) {
				this.load.readingBegan();
			}
			this.connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
			this.connection.requestWritten();
		}
	}

	/**
	 * Returns the mean gap between event batches of the stream.
	 * @return milliseconds; {@link Double#MAX_VALUE} before the second batch, as the
	 * prompt is still being read before the first
	 */
	double meanGapMs() {
		return hasMeanGap() ? (double) (this.progressAtMs - this.firstAtMs) / (this.eventBatches - 1)
				: Double.MAX_VALUE;
	}

	/**
	 * Whether enough events arrived to measure the gap between them.
	 * @return whether {@link #meanGapMs()} is a measured value
	 */
	boolean hasMeanGap() {
		return this.eventBatches > 1;
	}

	/**
	 * Returns how many times complete events arrived on the stream.
	 * @return the count; 0 if the answer is not a stream
	 */
	int eventBatches() {
		return this.eventBatches;
	}

	/**
	 * Returns when the head of the answer arrived.
	 * @return the time in milliseconds
	 */
	long headAtMs() {
		return this.headAtMs;
	}

	/**
	 * Returns what the upstream states about itself in its answer.
	 * @return the notice; {@link UpstreamNotice#NONE} before the head of the answer
	 */
	UpstreamNotice notice() {
		return (this.head != null) ? this.head.notice() : UpstreamNotice.NONE;
	}

	/**
	 * Whether the attempt waits for an upstream from which this router is cut off: it is
	 * connecting, or nothing arrives although it was sent. Open connections may go on
	 * working in a cut; before the first event the upstream is quiet anyway.
	 * @return whether waiting on is of little use
	 */
	boolean quietInCut() {
		if (!this.sent) {
			return !this.ended;
		}
		RouterContext router = this.session.router();
		long quietMs = router.nowMs() - this.progressAtMs;
		long limitMs = (this.eventBatches > 0) ? MAX_QUIET_BEGUN_MS : MAX_QUIET_MS;
		return underWay() && quietMs > limitMs
				&& router.reachability().contactAgeMs(this.session.service().name()) > limitMs;
	}

	/**
	 * Returns how often the peer that was to relay the request sent it to upstreams.
	 * @return the count; 0 before its answer
	 */
	int sentByRelay() {
		return this.sentByRelay;
	}

	/**
	 * Returns the upstreams that may run the request because of this attempt, once it was
	 * sent.
	 * @return their incarnations; a name of its own for each upstream of a peer that does
	 * not name those that it uses
	 */
	Set<String> upstreams() {
		return switch (this.target) {
			case Target.Direct direct -> Set.of(this.first);
			case Target.Relay relay -> this.upstreamsOfRelay.isEmpty() ? unknownUpstreams() : this.upstreamsOfRelay;
		};
	}

	private Set<String> unknownUpstreams() {
		return IntStream.range(0, Math.max(1, this.sentByRelay))
			.mapToObj((index) -> this.first + "#" + this.number + "." + index)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Whether the peer that was to relay the request answered it.
	 * @return {@code false} if it could not be reached, or its answer was lost
	 */
	boolean answeredByRelay() {
		return this.relayOutcome != null;
	}

	/** Handles that the peer that relays the request does not answer queries. */
	void onRelaySilent() {
		if (underWay()) {
			this.session.onRelaySilent();
		}
	}

	int promptTokens() {
		return this.session.request().promptTokens();
	}

	/**
	 * Returns the time at which the last event arrived or, before the first event, the
	 * request was sent.
	 * @return the time in milliseconds
	 */
	long progressAtMs() {
		return this.progressAtMs;
	}

	/**
	 * Reacts to an engine on the path that does not respond. If the first engine is alive
	 * and the rest of its failure domain still covers all layers, the attempt is ordered
	 * onto another path: only the new engines read the context so far, and no repeat is
	 * spent. A path through another failure domain would send the whole context over the
	 * pipe that all streams share, 26 ms each for fifty streams at once, so in that case
	 * the request rather fails over to an attempt that runs entirely in that domain.
	 * @param address the stalled engine
	 */
	void stalled(String address) {
		long nowMs = this.session.router().nowMs();
		if (this.detouring || nowMs - this.stalledAtMs < STALLED_INTERVAL_MS) {
			return;
		}
		this.stalledAtMs = nowMs;
		Hop first = this.target.path().getFirst();
		boolean accepts = !first.engine().address().equals(address)
				&& !this.session.router().availability().backingOff(this.first);
		Optional<List<Hop>> detour = (this.eventBatches > 0 && accepts && !this.detourRejected)
				? this.session.detour(address, first) : Optional.empty();
		if (detour.isPresent() && Target.domainChanges(detour.get()) == 0) {
			orderDetour(address, detour.get());
		}
		else if (!this.session.failOver(address)) {
			detour.ifPresentOrElse((path) -> orderDetour(address, path), () -> this.session.onStalled(address));
		}
	}

	private void orderDetour(String address, List<Hop> path) {
		this.detouring = true;
		this.session.router()
			.engines()
			.repath(this.target.first(), this.session.request().id(), path,
					(reply) -> onDetourReply(address, path, reply));
	}

	private void onDetourReply(String address, List<Hop> path, OrderReply reply) {
		if (this.ended) {
			return;
		}
		logger.atInfo()
			.log("event=detour id=%s faulty=%s hops=%d reply=\"%s\"", this.session.request().id(), address, path.size(),
					reply);
		this.detouring = false;
		if (reply instanceof OrderReply.Accepted) {
			this.target = new Target.Direct(this.target.first(), path);
			this.load.moved(this.target);
			this.progressAtMs = this.session.router().nowMs();
		}
		else {
			this.detourRejected = true;
			this.session.onStalled(address);
		}
	}

	/** Abandons the attempt; the upstream notices it by the close of its connection. */
	void abandon() {
		if (!this.ended) {
			settle();
			// Otherwise the bytes of the next attempt would be appended to the partial
			// event of this one.
			this.session.events().dropPartial();
			if (this.connection != null) {
				this.connection.abandon();
			}
		}
	}

	/**
	 * Turns reading from the upstream on or off.
	 * @param reading whether to read
	 */
	void reading(boolean reading) {
		if (this.connection != null && !this.ended) {
			this.connection.channel().config().setAutoRead(reading);
		}
	}

	@Override
	public void onHead(UpstreamHead received, HttpResponse response) {
		this.head = received;
		this.headAtMs = this.session.router().nowMs();
		HttpHeaders headers = HopByHopHeaders.strip(response.headers());
		switch (this.target) {
			case Target.Direct direct -> {
				this.grant.settle();
				this.session.router().limits().received(this.first, received);
				this.session.router().crashGuard().answered(this.first);
				if (received.success()) {
					this.session.router().relays().answered(this.session.service().name());
				}
			}
			case Target.Relay relay -> {
				this.relayOutcome = RelayHeaders.outcome(headers);
				this.sentByRelay = RelayHeaders.sent(headers);
				this.upstreamsOfRelay = RelayHeaders.upstreams(headers);
				// A peer that refuses the request may not have sent it.
				if (this.relayOutcome != RelayHeaders.Outcome.NOT_RUN) {
					this.grant.settle();
				}
				if (this.relayOutcome == RelayHeaders.Outcome.ANSWERED) {
					this.session.router().reachability().relayed(this.session.service().name());
				}
			}
		}
		RelayHeaders.remove(headers);
		boolean stream = this.session.route().kind() == RequestKind.STREAMING && received.success();
		this.streaming = stream && received.genuine();
		this.answer = new Answer(response.status(), headers, Unpooled.buffer(0));
	}

	@Override
	public void onKept(long bytes) {
		this.keptBytes = bytes;
		charge();
	}

	// May end this attempt, or others, if too much is held.
	private void charge() {
		long bytes = this.ended ? 0 : this.keptBytes + (this.streaming ? this.session.events().heldBytes() : 0);
		if (bytes != this.chargedBytes) {
			this.chargedBytes = bytes;
			this.session.caller().share().set(MemoryShare.Use.UPSTREAM, bytes);
		}
	}

	/**
	 * Returns what is held of an answer that is not passed on yet.
	 * @return bytes
	 */
	long unpassedBytes() {
		long bufferedBytes = (this.answer != null && !this.ended) ? this.answer.body().capacity() : 0;
		return this.chargedBytes + bufferedBytes;
	}

	/**
	 * Gives up what is held of the answer: passes it on as it arrives if that is
	 * possible, and ends the attempt otherwise.
	 */
	void onNoMemory() {
		boolean whole = this.answer != null && !this.streaming && !this.passedOn && this.head.genuine()
				&& !this.head.notRun();
		if (whole && (this.head.success() || this.session.route().kind() != RequestKind.STREAMING)
				&& this.target instanceof Target.Direct) {
			passOn();
			this.session.onReadComplete();
		}
		else if (underWay()) {
			endInvalid("an incomplete answer, as too much memory is held");
		}
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.ended) {
			return;
		}
		if (!this.streaming) {
			takeWhole(content);
			return;
		}
		takeEvents(content);
		charge();
	}

	private void takeEvents(ByteBuf content) {
		ByteBuf events = this.session.events().take(content);
		if (this.session.events().oversized()) {
			ReferenceCountUtil.release(events);
			endInvalid("more than " + EventStream.MAX_EVENT_BYTES + " bytes without the end of an event");
			return;
		}
		if (events != null) {
			this.progressAtMs = this.session.router().nowMs();
			if (this.eventBatches == 0) {
				this.firstAtMs = this.progressAtMs;
				this.load.readingEnded();
			}
			this.eventBatches++;
			if (!this.ranWell && this.progressAtMs - this.firstAtMs >= HARMLESS_AFTER_MS) {
				this.ranWell = true;
				this.session.ranWell(this.headAtMs);
			}
			if (this.target instanceof Target.Direct) {
				this.session.router().crashGuard().answered(this.first);
			}
			this.session.onEvents(this.answer, events);
		}
	}

	private void takeWhole(ByteBuf content) {
		ByteBuf body = this.answer.body();
		boolean passable = this.head.success() && this.head.genuine();
		BufferedAnswers buffered = this.session.router().bufferedAnswers();
		MemoryShare share = this.session.caller().share();
		int limitBytes = passable ? buffered.limitBytes() : MAX_FAILURE_BYTES;
		if (this.passedOn) {
			this.session.onEvents(this.answer, content.retain());
		}
		else if (body.readableBytes() + content.readableBytes() <= limitBytes) {
			int beforeBytes = body.capacity();
			body.writeBytes(content);
			buffered.add(share, body.capacity() - beforeBytes);
		}
		else if (passable) {
			passOn();
			this.session.onEvents(this.answer, content.retain());
		}
		else {
			endInvalid("a failure of more than " + MAX_FAILURE_BYTES + " bytes");
		}
	}

	private void passOn() {
		ByteBuf body = this.answer.body();
		this.passedOn = true;
		this.session.router().bufferedAnswers().remove(this.session.caller().share(), body.capacity());
		this.answer = new Answer(this.answer.status(), this.answer.headers(), Unpooled.EMPTY_BUFFER);
		this.session.onEvents(this.answer, body);
	}

	// What comes next may be without end.
	private void endInvalid(String reason) {
		logger.atWarning()
			.log("event=invalid-answer id=%s upstream=%s reason=\"%s\"", this.session.request().id(),
					this.target.first().id(), reason);
		this.connection.abandon();
		onBroken(reason, false);
	}

	@Override
	public void onReadComplete() {
		if (!this.ended) {
			this.session.onReadComplete();
		}
	}

	@Override
	public void onEnd(boolean byConnection) {
		if (this.ended) {
			return;
		}
		if (this.target instanceof Target.Relay && this.relayOutcome != RelayHeaders.Outcome.ANSWERED) {
			endUnanswered();
		}
		else if (this.streaming) {
			endStream(byConnection);
		}
		else if (this.head.notRun()) {
			end(new AttemptOutcome.NotRun("status-" + this.head.status()), this.head.faultyAddress());
		}
		else if (this.head.success() && !this.head.genuine()) {
			end(new AttemptOutcome.Unknown("not-genuine"), null);
		}
		else if (this.passedOn && !this.head.success()) {
			settle();
			this.session.onPassedOnFailure(this.answer.status());
		}
		else if (this.session.answerBegun()) {
			endLargeOrResumed();
		}
		else {
			endBuffered();
		}
	}

	private void endNotRunByRelay(String reason) {
		this.session.recordRelayRefusal(this.head.notice().retryAfterMs());
		this.session.router().relays().refused(this.target.first());
		if (this.sentByRelay > 0) {
			end(new AttemptOutcome.NotRun(reason), null);
		}
		else {
			notSent(reason);
		}
	}

	private void endUnanswered() {
		String reason = "relay-status-" + this.head.status();
		switch (this.relayOutcome) {
			case NOT_RUN -> endNotRunByRelay(reason);
			case DENIED -> {
				settle();
				this.session.onDenied(this.answer);
			}
			case UNKNOWN, ANSWERED -> end(new AttemptOutcome.Unknown(reason), null);
		}
	}

	private void endStream(boolean byConnection) {
		if (this.session.events().partial()) {
			onBroken("the stream ended within an event", byConnection);
			return;
		}
		// An upstream that crashes after the head of such an answer ends it like this.
		if (byConnection && this.eventBatches == 0 && mayHaveBody()) {
			onBroken("the connection ended before the first event", true);
			return;
		}
		settle();
		this.session.onStreamEnd(this.answer);
	}

	private boolean mayHaveBody() {
		return this.head.status() != HttpResponseStatus.NO_CONTENT.code()
				&& !HttpMethod.HEAD.name().equals(this.session.request().method());
	}

	private void endLargeOrResumed() {
		if (this.head.success()) {
			settle();
			this.session.onEvents(this.answer, this.answer.body());
			this.session.onStreamEnd(this.answer);
		}
		else if (this.head.status() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
			settle();
			this.session.onResumptionRejected("status-" + this.head.status());
		}
		else {
			end(new AttemptOutcome.Failed("status-" + this.head.status()), this.head.faultyAddress());
		}
	}

	private void endBuffered() {
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
		switch (this.target) {
			case Target.Direct direct -> {
				settle();
				boolean refused = this.head != null && this.head.notRun();
				if (connectionEnded && !refused) {
					this.session.router().reachability().silent(direct.first(), this.session.router().nowMs());
					recordPossibleCrash();
				}
				this.session.onAttemptOutcome(
						refused ? new AttemptOutcome.NotRun(reason) : new AttemptOutcome.Unknown(reason),
						(this.head != null) ? this.head.faultyAddress() : null);
			}
			case Target.Relay relay -> {
				if (this.relayOutcome == RelayHeaders.Outcome.NOT_RUN) {
					endNotRunByRelay(reason);
				}
				else {
					settle();
					this.session.onAttemptOutcome(new AttemptOutcome.Unknown(reason), null);
				}
			}
		}
	}

	// The request may have crashed the upstream, unless it had already run there for a
	// while.
	private void recordPossibleCrash() {
		if (this.eventBatches > 0 && this.session.router().nowMs() - this.firstAtMs >= HARMLESS_AFTER_MS) {
			this.session.ranWell(this.headAtMs);
		}
		else {
			boolean first = this.eventBatches == 0 && !this.session.answerBegun();
			this.session.recordCrash(this.target.first(),
					new CrashGuard.Start(this.sentAtMs, this.streaming, this.streaming && first));
		}
	}

	@Override
	public void onWritable(boolean writable) {
		if (this.session.body().passingThrough() && !this.session.body().ended()) {
			this.session.readBody(writable);
		}
	}

	private void end(AttemptOutcome end, String faultyAddress) {
		settle();
		this.session.onAttemptOutcome(end, faultyAddress);
	}

	private void settle() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.sent) {
			this.grant.settle();
		}
		else {
			this.grant.giveBack();
		}
		if (this.target instanceof Target.Relay) {
			this.session.router().relays().ended(this);
			this.session.router()
				.metrics()
				.relay((this.relayOutcome != null) ? this.relayOutcome.logName() : "unanswered");
		}
		this.session.router().engineMonitor().remove(this);
		this.load.readingEnded();
		this.load.ended();
		charge();
		if (this.answer != null) {
			this.session.router()
				.bufferedAnswers()
				.remove(this.session.caller().share(), this.answer.body().capacity());
		}
	}

}
