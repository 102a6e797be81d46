package io.whinjunction.router;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.chain.Hop;
import io.whinjunction.forward.AttemptOutcome;
import io.whinjunction.forward.PromptPart;
import io.whinjunction.forward.RequestFingerprint;
import io.whinjunction.forward.RequestIdentity;
import io.whinjunction.forward.RetryDecision;
import io.whinjunction.forward.RetryObstacle;
import io.whinjunction.forward.RetryPolicy;
import io.whinjunction.routing.RequestKind;
import io.whinjunction.routing.Route;
import io.whinjunction.routing.RoutedService;
import io.whinjunction.routing.RoutedTeam;

/**
 * Forwards one request, from its head to the end of its answer.
 * <p>
 * Invariants: exactly one answer or abort reaches the caller; at most one attempt is
 * under way; a refusal is sent only if {@link RetryPolicy} finds that the request cannot
 * have run. Confined to the event loop.
 */
final class ForwardSession {

	/**
	 * When a caller may retry if no upstream can serve the request now, in milliseconds:
	 * a layer gap is detected and filled in about this time.
	 */
	private static final long RETRY_AFTER_MS = 500;

	/** When a caller may retry if callers hold too much memory, in milliseconds. */
	private static final long MEMORY_RETRY_AFTER_MS = 1000;

	/** How long an engine that made a request fail is avoided, in milliseconds. */
	private static final long AVOID_MS = 700;

	/**
	 * How much sooner a relay ends a request than the router that has its caller, in
	 * milliseconds, so that its answer arrives in time: only the relay knows whether the
	 * request has run.
	 */
	private static final long RELAY_MARGIN_MS = 25;

	/** How long a caller waits that does not state a deadline, in milliseconds. */
	private static final long DEFAULT_MAX_WAIT_MS = 30_000;

	private final RouterContext router;

	private final CallerConnection caller;

	private final CallerRequest request;

	/** The router that has the caller; {@code null} if it is this one. */
	private final RelayHeaders.Origin relayedFor;

	private final RequestBody body;

	private final long startedMs;

	private final AttemptHistory history = new AttemptHistory();

	/** {@code null} until the body is read as far as it is buffered. */
	private RequestIdentity identity;

	/** The parts of the prompt that other requests may share; empty until admitted. */
	private List<PromptPart> parts = List.of();

	private Route route;

	private RoutedTeam team;

	private RoutedService service;

	private long deadlineMs;

	private ScheduledFuture<?> timeout;

	private Attempt attempt;

	/** How many attempts have begun. */
	private int attempts;

	/** The initial target of the newest attempt; {@code null} before the first. */
	private Target lastTarget;

	/** The events of the answer, across all attempts. */
	private final EventStream events = new EventStream();

	private Answer failedAnswer;

	private boolean answerBegun;

	private boolean done;

	/**
	 * What prevented another attempt since the last event; {@code null} if nothing did.
	 */
	private RetryObstacle obstacle;

	/** What the retry budget granted to the next attempt. */
	private RetryGrant grant = RetryGrant.NOT_NEEDED;

	/** When the last relay that refused the request may take it, in milliseconds. */
	private long relayRetryAfterMs;

	/** When a request that crashes upstreams may be retried, in milliseconds. */
	private long crashRetryAfterMs = RETRY_AFTER_MS;

	private final ResumeTimer resumeTimer;

	private final TargetSearch search = new TargetSearch(this);

	/**
	 * Whether the request was sent although it crashes upstreams, to check whether it
	 * still does.
	 */
	private boolean crashRetrial;

	/** Whether an upstream ran the request without harm. */
	private boolean ranWell;

	private final StreamProgress progress = new StreamProgress();

	/** When the request began to wait for its first attempt, in milliseconds. */
	private long waitsSinceMs;

	/** Whether the first attempt waits in favour of more urgent requests. */
	private boolean waits;

	/** How long the first attempt waited, in milliseconds. */
	private long waitedMs;

	/** Whether this request counts among those that are under way for peers. */
	private boolean takenForPeer;

	ForwardSession(RouterContext router, CallerConnection caller, CallerRequest request, long contentLength,
			Optional<RelayHeaders.Origin> relayedFor) {
		this.router = router;
		this.caller = caller;
		this.request = request;
		this.relayedFor = relayedFor.orElse(null);
		this.body = new RequestBody(contentLength);
		this.startedMs = router.nowMs() - relayedFor.map(RelayHeaders.Origin::waitedMs).orElse(0L);
		this.resumeTimer = new ResumeTimer(router);
		relayedFor.ifPresent((origin) -> this.history.recordBefore(origin.tried(), origin.sent()));
	}

	/** Decides on the head; the first attempt waits for the body. */
	void start() {
		if (this.relayedFor != null) {
			this.takenForPeer = this.router.relays().take();
			if (!this.takenForPeer) {
				finish("refused", "relay-full",
						Answer.refusal("too many requests of other routers", RequestGate.RETRY_ELSEWHERE_MS));
				return;
			}
		}
		long minVersion = (this.relayedFor != null) ? this.relayedFor.version() : Long.MIN_VALUE;
		switch (RequestGate.judge(this.router, this.request, this.body.contentLength(), minVersion)) {
			case RequestGate.Verdict.Rejected rejected -> {
				this.route = rejected.route();
				finish(rejected.outcome(), rejected.reason(), rejected.answer());
			}
			case RequestGate.Verdict.Admitted admitted -> begin(admitted);
		}
	}

	private void begin(RequestGate.Verdict.Admitted admitted) {
		this.route = admitted.route();
		this.team = admitted.team();
		this.service = admitted.service();
		this.parts = this.request.sharedPartIds()
			.stream()
			.map((id) -> PromptPart.of(this.service.name(), this.request.model(), id))
			.toList();
		if (this.route.kind() == RequestKind.STREAMING && this.route.repeatable()) {
			this.body.keepForResumption();
		}
		long nowMs = this.router.nowMs();
		if (this.relayedFor == null) {
			this.router.retries().requested(this.service.name());
		}
		long maxWaitMs = (this.request.maxWaitMs() >= 0) ? this.request.maxWaitMs() : DEFAULT_MAX_WAIT_MS;
		this.deadlineMs = nowMs + maxWaitMs;
		long limitMs = Math.min(maxWaitMs, this.route.limits().timeoutMs() - (nowMs - this.startedMs));
		limitMs -= (this.relayedFor != null) ? RELAY_MARGIN_MS : 0;
		this.timeout = this.router.loop().schedule(this::onTimeout, Math.max(0, limitMs), TimeUnit.MILLISECONDS);
	}

	/**
	 * Handles a chunk of the body.
	 * @param content the bytes; owned by the caller of this method
	 */
	void onBody(ByteBuf content) {
		if (this.done) {
			return;
		}
		if (this.body.receivedWith(content) > this.router.configuration().limits().maxBodyBytes()) {
			onBodyTooLarge();
			return;
		}
		if (this.body.keep(content)) {
			chargeHeld();
			return;
		}
		if (this.body.passThrough()) {
			tryFirst();
		}
		chargeHeld();
		if (this.done) {
			return;
		}
		if (this.attempt != null) {
			this.attempt.sendBody(content.retain());
		}
		else {
			holdBody(content);
		}
	}

	private void chargeHeld() {
		this.caller.hold(this.body.heapBytes() + failureBytes());
	}

	private void onBodyTooLarge() {
		if (this.answerBegun) {
			end("broken", "too-large");
			this.caller.abort();
		}
		else {
			finish("denied", "too-large", RequestGate.tooLarge());
		}
	}

	/**
	 * Queues a chunk of a streamed body behind those that were read and not sent yet.
	 * @param content the chunk, owned by the caller of this method
	 */
	void holdBody(ByteBuf content) {
		this.body.hold(content);
		chargeHeld();
		readBody(false);
	}

	/**
	 * Turns reading the body from the caller on or off.
	 * @param reading whether to read
	 */
	void readBody(boolean reading) {
		this.caller.reading(this, reading);
	}

	/** Handles the end of the body. */
	void onBodyEnd() {
		this.body.end();
		if (this.done) {
			return;
		}
		if (!this.body.passingThrough()) {
			tryFirst();
		}
		else if (this.attempt != null) {
			this.attempt.sendBodyEnd();
		}
	}

	/** Handles the close of the caller's connection: nobody waits for the answer. */
	void onCallerGone() {
		if (!this.done) {
			end(RequestLog.GONE, "caller-gone");
		}
	}

	/**
	 * Returns whether the request can be refused truthfully.
	 * @return {@code false} once an upstream may have begun it
	 */
	boolean unsent() {
		return !this.done && !this.answerBegun && !mayHaveRun();
	}

	/** Refuses the request, which was not sent, as callers hold too much memory. */
	void onNoMemory() {
		if (unsent()) {
			finish("refused", "memory", Answer.refusal("callers hold too much memory", MEMORY_RETRY_AFTER_MS));
		}
	}

	/**
	 * Returns what is held of answers that are not passed on: of the attempt under way,
	 * or a failure that another attempt may replace.
	 * @return the larger of both, in bytes
	 */
	long unpassedBytes() {
		return Math.max((this.attempt != null) ? this.attempt.unpassedBytes() : 0, failureBytes());
	}

	private int failureBytes() {
		return (this.failedAnswer != null) ? this.failedAnswer.body().capacity() : 0;
	}

	/** Gives up what is held of an answer that is not passed on. */
	void onNoMemoryForAnswer() {
		if (this.attempt != null && this.attempt.unpassedBytes() >= failureBytes()) {
			this.attempt.onNoMemory();
		}
		else {
			this.failedAnswer = null;
			chargeHeld();
		}
	}

	/**
	 * Looks whether the caller still waits, and ends the request if it does not. Called
	 * immediately before anything is sent: the close may have arrived long before this
	 * late event loop reads it.
	 * @return whether the request goes on
	 */
	boolean callerWaits() {
		if (!this.caller.connected()) {
			onCallerGone();
		}
		return !this.done;
	}

	/**
	 * Handles a change of the writability of the caller's connection.
	 * @param writable whether the caller accepts more of the answer
	 */
	void onCallerWritable(boolean writable) {
		if (this.attempt != null) {
			this.attempt.reading(writable);
		}
	}

	private void onTimeout() {
		if (this.done) {
			return;
		}
		if (this.answerBegun) {
			onAnswerOverTime();
			return;
		}
		this.obstacle = RetryObstacle.NO_TIME;
		if (mayHaveRun()) {
			finish("failed", "timeout", Answer.error(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer came in time"));
		}
		else {
			finish("refused", "timeout", Answer.refusal("it could not be handed on in time", RETRY_AFTER_MS));
		}
	}

	private void onAnswerOverTime() {
		long leftMs = leftMs();
		if (leftMs > 0 && this.attempt != null) {
			// The route's limit applies to callers that have no answer yet; events that
			// arrive are delivered until the caller's own deadline.
			this.timeout = this.router.loop().schedule(this::onTimeout, leftMs, TimeUnit.MILLISECONDS);
			return;
		}
		this.obstacle = RetryObstacle.NO_TIME;
		end("broken", "deadline");
		this.caller.abort();
	}

	/**
	 * Ends the request as this process exits before the answer is complete.
	 * @return whether an answer was cut that had begun
	 */
	boolean onRouterExit() {
		if (this.done) {
			return false;
		}
		giveUp(RetryObstacle.STOPPING, RetryObstacle.STOPPING.logName());
		return this.answerBegun;
	}

	private void tryFirst() {
		RequestFingerprint fingerprint = RequestFingerprint.of(Objects.requireNonNullElse(teamName(), ""),
				this.request.method(), this.request.host(), this.request.uri(), this.body.buffered().nioBuffer());
		this.identity = new RequestIdentity(fingerprint, this.parts);
		// The caller's connection is being read, and its end may be next.
		this.router.loop().execute(this::decideFirst);
	}

	private void decideFirst() {
		if (this.done) {
			return;
		}
		if (outlivesRouter()) {
			giveUp(RetryObstacle.STOPPING, RetryObstacle.STOPPING.logName());
			return;
		}
		if (!this.caller.admitted()) {
			onNoMemory();
			return;
		}
		if (givesWay()) {
			this.waits = true;
			this.waitsSinceMs = this.router.nowMs();
			this.router.admission().enter(this);
		}
		else {
			acquireFirst();
		}
	}

	// A resumed answer holds its caller up already, a relayed request was judged by the
	// router that has its caller, and a body that is passed on as it arrives is not held
	// back.
	private boolean givesWay() {
		return this.route.kind() == RequestKind.STREAMING && this.relayedFor == null
				&& this.request.lastEventId() == null && !this.body.passingThrough()
				&& !this.router.crashGuard().isRefused(this.identity);
	}

	private void acquireFirst() {
		acquire(false).ifPresentOrElse((obstacle) -> giveUp(obstacle, obstacle.logName()), this::begin);
	}

	/** Starts the first attempt, which may have waited in favour of other requests. */
	void onAdmitted() {
		if (this.done || !this.waits) {
			return;
		}
		boolean waited = endWait();
		if (waited && outlivesRouter()) {
			giveUp(RetryObstacle.STOPPING, RetryObstacle.STOPPING.logName());
		}
		else {
			acquireFirst();
		}
	}

	/**
	 * Refuses the request, which was not sent, in favour of more urgent ones.
	 * @param reason the reason, for logs
	 * @param retryAfterMs when its caller may come back, in milliseconds
	 */
	void onNotAdmitted(String reason, long retryAfterMs) {
		if (!this.done) {
			finish("refused", reason, Answer.refusal("more urgent requests need the room", retryAfterMs));
		}
	}

	private boolean endWait() {
		this.waitedMs = waitedMs();
		this.waits = false;
		return this.waitedMs > 0;
	}

	/**
	 * Whether the first attempt waits in favour of other requests.
	 * @return {@code false} once it has begun or was refused
	 */
	boolean waits() {
		return this.waits && !this.done;
	}

	/**
	 * Returns how long the first attempt waited in favour of other requests.
	 * @return milliseconds, up to now while it waits
	 */
	long waitedMs() {
		return this.waits ? this.router.nowMs() - this.waitsSinceMs : this.waitedMs;
	}

	/**
	 * Returns the attempt that was sent and may still be answered.
	 * @return the attempt, or {@code null}
	 */
	Attempt attemptUnderWay() {
		return (this.attempt != null && this.attempt.underWay()) ? this.attempt : null;
	}

	// The budget is asked last: a repeat that no upstream can serve would be lost to
	// other requests.
	private Optional<RetryObstacle> acquire(boolean repeat) {
		OptionalLong crashing = this.router.crashGuard().refusal(this.request.id(), this.identity);
		if (crashing.isPresent()) {
			this.crashRetryAfterMs = crashing.getAsLong();
			return Optional.of(RetryObstacle.CRASHES_UPSTREAMS);
		}
		if (this.search.leftToOrigin()) {
			return Optional.of(RetryObstacle.LEFT_TO_ORIGIN);
		}
		Optional<Target> target = this.search.find();
		if (target.isEmpty()) {
			return Optional.of(RetryObstacle.NO_UPSTREAM);
		}
		// Only an answer that has begun borrows: otherwise a refusal is true, and its
		// caller can go elsewhere.
		Optional<RetryGrant> granted = repeat ? this.router.retries().acquire(this.service.name(), this.answerBegun)
				: Optional.of(RetryGrant.NOT_NEEDED);
		if (granted.isEmpty()) {
			return Optional.of(RetryObstacle.NO_BUDGET);
		}
		this.lastTarget = target.get();
		this.grant = granted.get();
		return Optional.empty();
	}

	private void begin() {
		RetryGrant granted = this.grant;
		this.grant = RetryGrant.NOT_NEEDED;
		if (!callerWaits()) {
			granted.giveBack();
			return;
		}
		this.crashRetrial = this.router.crashGuard().isRefused(this.identity);
		this.attempt = new Attempt(this, this.lastTarget, granted, ++this.attempts);
		this.attempt.start();
	}

	/**
	 * Whether an attempt that begins now is likely to be cut by the exit of this process.
	 * An answer that has begun to reach its caller continues here as long as possible.
	 * @return {@code false} if this process is not stopping, or the attempt may begin
	 */
	boolean outlivesRouter() {
		if (this.answerBegun || !this.router.stopping()) {
			return false;
		}
		boolean again = this.history.sent() + this.history.notSent() > 0;
		Optional<StopAdmission.Judgement> judgement = this.router.judgeInStop(new StopAdmission.Candidate(family(),
				this.route.repeatable(), again, this.request.lastEventId() != null, maxRemainingMs()));
		judgement.ifPresent((judged) -> RequestLog.judgedInStop(this, judged));
		return judgement.isPresent() && !judgement.get().begins();
	}

	// A streamed answer may exceed its route's limit.
	private long maxRemainingMs() {
		long limitMs = this.route.limits().timeoutMs() - (this.router.nowMs() - this.startedMs);
		return (this.route.kind() == RequestKind.STREAMING) ? Long.MAX_VALUE : Math.min(limitMs, leftMs());
	}

	/**
	 * Returns how long the connection of an attempt may take. Half of the time that is
	 * left stays for another upstream, as a silent one would otherwise take all of it.
	 * @return milliseconds
	 */
	long maxConnectMs() {
		long routeMs = this.route.limits().timeoutMs() - (this.router.nowMs() - this.startedMs);
		return Math.max(0, Math.min(routeMs, leftMs())) / 2;
	}

	StopAdmission.Family family() {
		return StopAdmission.Family.of(this.route, this.service);
	}

	/**
	 * Handles an attempt that ended without an answer for the caller.
	 * @param end how it ended
	 * @param faultyAddress the engine that made it fail, or {@code null}
	 */
	void onAttemptOutcome(AttemptOutcome end, String faultyAddress) {
		Attempt ended = this.attempt;
		this.attempt = null;
		avoid(ended, end, faultyAddress);
		RequestLog.attemptEnded(this, ended, end, faultyAddress);
		recordRelayed(ended, end);
		if (this.done) {
			return;
		}
		RetryPolicy.History before = this.history.forRetry(this.answerBegun, ended.progressed());
		this.history.recordEnd(ended.upstreams(), end);
		// Checked before a repeat is taken from the budget that all routers share.
		if (outlivesRouter()) {
			giveUp(RetryObstacle.STOPPING, RetryObstacle.STOPPING.logName());
		}
		else if (!replayable()) {
			giveUp(RetryObstacle.NOT_RESUMABLE, end.reason());
		}
		else {
			follow(RetryPolicy.next(this.route, end, before, leftMs(), this::acquire), end.reason());
		}
	}

	// Until a relay has answered, it is not known whether an upstream got the request.
	// What upstreams turned away counts against the route's sends too.
	private void recordRelayed(Attempt ended, AttemptOutcome end) {
		if (ended.target() instanceof Target.Relay && !(end instanceof AttemptOutcome.NotSent)) {
			this.history.recordRelayed(ended.upstreams(), Math.max(1, ended.sentByRelay()));
		}
	}

	// What was passed on of an answer without events cannot be taken back.
	private boolean replayable() {
		return !this.body.passingThrough() && (!this.answerBegun || this.route.kind() == RequestKind.STREAMING);
	}

	private void follow(RetryDecision decision, String reason) {
		switch (decision) {
			case RetryDecision.Retry retry -> begin();
			case RetryDecision.Wait wait -> waitToResume(wait.obstacle(), reason);
			case RetryDecision.Refuse refuse -> giveUp(refuse.obstacle(), reason(refuse.obstacle(), reason));
			case RetryDecision.Fail fail -> giveUp(fail.obstacle(), reason(fail.obstacle(), reason));
		}
	}

	private static String reason(RetryObstacle obstacle, String attemptReason) {
		return switch (obstacle) {
			case NO_UPSTREAM, CRASHES_UPSTREAMS -> obstacle.logName();
			default -> attemptReason;
		};
	}

	private void waitToResume(RetryObstacle next, String reason) {
		if (this.router.nowMs() - this.startedMs >= this.route.limits().timeoutMs()) {
			giveUp(RetryObstacle.NO_TIME, reason);
			return;
		}
		if (next != this.obstacle) {
			RequestLog.waits(this, next, reason);
		}
		this.obstacle = next;
		this.resumeTimer.start(next, () -> follow(RetryPolicy.resume(leftMs(), this::acquire), reason));
	}

	// Whether an upstream may have run the request, or may still run it.
	private boolean mayHaveRun() {
		return this.history.mayHaveRun() || (this.attempt != null && this.attempt.sent());
	}

	/**
	 * Ends the attempt under way because it waits for an engine that does not respond. An
	 * answer that has begun is not ended by silence alone: the engine may respond again,
	 * and its caller has no other way to the rest.
	 * @param address the engine
	 */
	void onStalled(String address) {
		Attempt stalled = this.attempt;
		if (stalled == null || this.done || this.answerBegun) {
			return;
		}
		stalled.abandon();
		onAttemptOutcome(new AttemptOutcome.Unknown("stalled"), address);
	}

	/**
	 * Abandons the attempt under way in favour of another one, if that is allowed.
	 * @param faultyAddress the engine that it waits for
	 * @return whether it was abandoned
	 */
	boolean failOver(String faultyAddress) {
		if (outlivesRouter() || !replayable()) {
			return false;
		}
		recordFailureAt(faultyAddress);
		return replaceAttempt(new AttemptOutcome.Unknown("stalled"), faultyAddress);
	}

	/**
	 * Hands the request to a peer if its attempt waits for an upstream from which this
	 * router is cut off. Otherwise the attempt goes on, as its connection may work again.
	 * @param cutOffService the service that this router does not reach
	 */
	void onCutOff(String cutOffService) {
		boolean waits = !this.done && this.attempt != null && this.attempt.target() instanceof Target.Direct
				&& this.service.name().equals(cutOffService) && this.attempt.quietInCut();
		if (waits && !outlivesRouter() && replayable()) {
			replaceAttempt(
					this.attempt.sent() ? new AttemptOutcome.Unknown("cut-off") : new AttemptOutcome.NotSent("cut-off"),
					null);
		}
	}

	/** Hands the request to another peer, as the one that relays it is silent. */
	void onRelaySilent() {
		if (!this.done && !outlivesRouter() && replayable()) {
			this.history.recordFailure(this.attempt.target().first().incarnation());
			replaceAttempt(new AttemptOutcome.Unknown("relay-silent"), null);
		}
	}

	private boolean replaceAttempt(AttemptOutcome end, String faultyAddress) {
		// Another attempt may begin at once: it replaces one that stands still.
		boolean progressed = true;
		RetryDecision next = RetryPolicy.next(this.route, end, this.history.forRetry(this.answerBegun, progressed),
				leftMs(), this::acquire);
		if (next instanceof RetryDecision.Wait wait) {
			this.obstacle = wait.obstacle();
		}
		if (this.answerBegun && next instanceof RetryDecision.Fail fail
				&& fail.obstacle() == RetryObstacle.LEFT_TO_ORIGIN) {
			giveUp(fail.obstacle(), end.reason());
			return true;
		}
		if (!(next instanceof RetryDecision.Retry)) {
			return false;
		}
		Attempt stalled = this.attempt;
		stalled.abandon();
		this.attempt = null;
		avoid(stalled, end, faultyAddress);
		RequestLog.attemptEnded(this, stalled, end, faultyAddress);
		recordRelayed(stalled, end);
		if (end instanceof AttemptOutcome.NotSent) {
			this.history.recordNotSent();
		}
		this.history.recordEnd(stalled.upstreams(), end);
		begin();
		return true;
	}

	private void recordFailureAt(String address) {
		UpstreamState faulty = this.router.directory().findByAddress(this.service.name(), address);
		if (faulty != null) {
			this.history.recordFailure(faulty.incarnation());
		}
	}

	/**
	 * Finds another path for the attempt under way.
	 * @param faultyAddress the engine to leave out
	 * @param first the hop that stays
	 * @return the complete path, or empty if there is none
	 */
	Optional<List<Hop>> detour(String faultyAddress, Hop first) {
		recordFailureAt(faultyAddress);
		return this.search.detour(first);
	}

	/**
	 * Ends an answer that has begun, because an upstream stated that it will never resume
	 * it.
	 * @param reason the reason, for logs
	 */
	void onResumptionRejected(String reason) {
		endAttempt();
		giveUp(RetryObstacle.NOT_RESUMABLE, reason);
	}

	private void avoid(Attempt ended, AttemptOutcome end, String faultyAddress) {
		long untilMs = this.router.nowMs() + AVOID_MS;
		UpstreamState faulty = (faultyAddress != null)
				? this.router.directory().findByAddress(this.service.name(), faultyAddress) : null;
		if (faulty != null) {
			faulty.avoidUntil(untilMs);
			this.history.recordFailure(faulty.incarnation());
			this.router.engineMonitor().suspectReported(faulty.incarnation());
			return;
		}
		Upstream first = ended.target().first();
		if (first.isRouter()) {
			// A relay whose upstream failed can use another one.
			if (ended.sentByRelay() == 0) {
				this.history.recordFailure(first.incarnation());
			}
			if (!ended.answeredByRelay()) {
				this.router.relays().failed(first);
			}
			return;
		}
		if (!this.router.reachability().of(this.service.name()).judgesUpstreams()) {
			return;
		}
		// A chain may begin at the same engine again: a lost answer or a full engine is
		// little evidence against it, and if the route allows no other one, there is no
		// alternative.
		if (!this.service.chained()) {
			this.history.recordFailure(first.incarnation());
		}
		UpstreamState state = this.router.directory().find(first.incarnation());
		if (state != null && !(end instanceof AttemptOutcome.Failed) && !ended.withheld()) {
			state.avoidUntil(untilMs);
		}
	}

	private long retryAfterMs() {
		return switch (this.obstacle) {
			case STOPPING -> RequestGate.RETRY_ELSEWHERE_MS;
			case CRASHES_UPSTREAMS -> this.crashRetryAfterMs;
			default -> {
				long atLeastMs = Math.max(Math.max(RETRY_AFTER_MS, this.relayRetryAfterMs),
						this.router.chooser().backoffMs(this.service));
				yield (this.relayedFor != null) ? atLeastMs : this.router.admission().retryAfterMs(this, atLeastMs);
			}
		};
	}

	private void giveUp(RetryObstacle obstacle, String reason) {
		this.obstacle = obstacle;
		if (this.answerBegun) {
			end("broken", reason);
			this.caller.abort();
		}
		else if (this.failedAnswer != null) {
			finish("failed-upstream", reason, this.failedAnswer);
		}
		else if (!mayHaveRun()) {
			finish("refused", reason, Answer.refusal("it was not run: " + reason, retryAfterMs()));
		}
		else {
			finish("failed", reason, Answer.error(HttpResponseStatus.BAD_GATEWAY, "it may have run: " + reason));
		}
	}

	/**
	 * Records that the connection to an upstream ended while the request was starting
	 * there, which may be a crash.
	 * @param upstream the upstream
	 * @param start how far the request had come there
	 */
	void recordCrash(Upstream upstream, CrashGuard.Start start) {
		// A request that ran well elsewhere does not crash upstreams as it starts.
		RequestIdentity suspected = this.ranWell ? new RequestIdentity(this.identity.fingerprint(), List.of())
				: this.identity;
		this.router.crashGuard().crashed(suspected, upstream, start);
	}

	/**
	 * Whether the request may not be sent, as it was found to crash upstreams since its
	 * upstream was chosen.
	 * @return {@code false} if it is sent to check whether it still does
	 */
	boolean foundToCrash() {
		return !this.crashRetrial && this.router.crashGuard().isRefused(this.identity);
	}

	/** Fails the request because it crashes other upstreams. */
	void onCrashesUpstreams() {
		// A request that has produced results is not the cause, but affected by the crash
		// that another one caused.
		if (!this.crashRetrial && !this.answerBegun && this.attempt != null && this.attempt.underWay()) {
			giveUp(RetryObstacle.CRASHES_UPSTREAMS, RetryObstacle.CRASHES_UPSTREAMS.logName());
		}
	}

	/**
	 * Records that the request was answered with success, or produced events for a while.
	 * @param begunAtMs when the upstream began to answer it
	 */
	void ranWell(long begunAtMs) {
		this.ranWell = true;
		this.router.crashGuard().ranWell(this.identity, begunAtMs);
	}

	// An upstream may fail a request before it runs the parts of the prompt.
	private void survived() {
		this.router.crashGuard().survived(this.identity.fingerprint());
	}

	/**
	 * Passes a complete answer to the caller.
	 * @param answer the answer
	 */
	void onAnswer(Answer answer) {
		if (answer.status().codeClass() == HttpStatusClass.SUCCESS) {
			ranWell(this.attempt.headAtMs());
			recordAnswered();
		}
		else {
			survived();
		}
		endAttempt();
		finish("answered", Integer.toString(answer.status().code()), answer);
	}

	// Its upstream answered the request.
	private void endAttempt() {
		this.history.recordRan(this.attempt.upstreams());
		this.attempt = null;
	}

	/**
	 * Records that a relay refused the request.
	 * @param retryAfterMs when it may take it, in milliseconds; -1 if it named no time
	 */
	void recordRelayRefusal(long retryAfterMs) {
		this.relayRetryAfterMs = retryAfterMs;
	}

	/**
	 * Passes on that a relay does not allow the request by its configuration.
	 * @param answer the answer of the relay
	 */
	void onDenied(Answer answer) {
		this.attempt = null;
		finish("denied", "relay-status-" + answer.status().code(), answer);
	}

	/**
	 * Handles an answer of an upstream that reports its failure; it is kept in case no
	 * better one follows.
	 * @param answer the answer
	 */
	void onFailedAnswer(Answer answer) {
		survived();
		this.failedAnswer = answer;
		chargeHeld();
		onAttemptOutcome(new AttemptOutcome.Failed("status-" + answer.status().code()), null);
	}

	/**
	 * Passes complete events to the caller.
	 * @param head the head of the answer that they belong to
	 * @param content the events
	 */
	void onEvents(Answer head, ByteBuf content) {
		long nowMs = this.router.nowMs();
		if (!this.answerBegun) {
			this.answerBegun = true;
			markOutcome(head, "answered");
			this.caller.beginAnswer(head.status(), head.headers());
			this.router.metrics().firstEvent(nowMs - this.startedMs);
		}
		this.progress.recordEvents(nowMs, this.startedMs);
		this.resumeTimer.progressed();
		this.obstacle = null;
		this.caller.writeBody(content);
	}

	/**
	 * Flushes what was written, and stops reading from the upstream while the caller is
	 * slow.
	 */
	void onReadComplete() {
		if (this.answerBegun) {
			this.caller.flush();
			if (!this.caller.writable() && this.attempt != null) {
				this.attempt.reading(false);
			}
		}
	}

	/**
	 * Completes a failure that was passed on as it arrived.
	 * @param status its status
	 */
	void onPassedOnFailure(HttpResponseStatus status) {
		survived();
		endAttempt();
		end("failed-upstream", "status-" + status.code());
		this.caller.endAnswer();
	}

	/**
	 * Completes an answer that was passed on in chunks.
	 * @param head its head, for an answer without any chunk
	 */
	void onStreamEnd(Answer head) {
		ranWell(this.attempt.headAtMs());
		endAttempt();
		recordAnswered();
		if (!this.answerBegun) {
			finish("answered", "empty", head);
			return;
		}
		end("answered", "stream");
		this.caller.endAnswer();
	}

	private void recordAnswered() {
		this.router.answered(family(), this.router.nowMs() - this.startedMs);
	}

	private void finish(String outcome, String reason, Answer answer) {
		end(outcome, reason);
		this.router.dialect().addRequestId(answer.headers(), this.request);
		markOutcome(answer, outcome);
		this.caller.respond(answer);
	}

	private void markOutcome(Answer answer, String outcome) {
		if (this.relayedFor != null) {
			RelayHeaders.setOutcome(answer.headers(), switch (outcome) {
				case "answered", "failed-upstream" -> RelayHeaders.Outcome.ANSWERED;
				case "refused" -> RelayHeaders.Outcome.NOT_RUN;
				case "denied" -> RelayHeaders.Outcome.DENIED;
				default -> RelayHeaders.Outcome.UNKNOWN;
			}, this.history.sent(), this.history.sentTo());
		}
	}

	private void end(String outcome, String reason) {
		this.done = true;
		RequestPhase phase = (this.attempt != null) ? this.attempt.phase() : RequestPhase.UNSENT;
		boolean underWay = this.attempt != null && this.attempt.sent();
		long sentMsAgo = underWay ? this.router.nowMs() - this.attempt.sentAtMs() : -1;
		if (this.takenForPeer) {
			this.takenForPeer = false;
			this.router.relays().released();
		}
		if (this.service != null) {
			this.router.admission().ended(this);
		}
		this.resumeTimer.close();
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		if (this.attempt != null) {
			if (underWay) {
				this.history.recordRan(this.attempt.upstreams());
			}
			this.attempt.abandon();
			this.attempt = null;
		}
		RequestLog.ended(this, outcome, reason, phase, sentMsAgo);
	}

	/**
	 * Whether a peer has the caller of the request.
	 * @return {@code false} if this router has it
	 */
	boolean relayed() {
		return this.relayedFor != null;
	}

	/**
	 * Returns the newest attempt.
	 * @return the attempt, or {@code null} if none is under way
	 */
	Attempt attempt() {
		return this.attempt;
	}

	Target lastTarget() {
		return this.lastTarget;
	}

	RouterContext router() {
		return this.router;
	}

	CallerRequest request() {
		return this.request;
	}

	Route route() {
		return this.route;
	}

	RoutedService service() {
		return this.service;
	}

	/**
	 * Returns the router that has the caller.
	 * @return its name, or {@code -} if it is this router
	 */
	String originName() {
		return (this.relayedFor != null) ? this.relayedFor.router() : "-";
	}

	/**
	 * Describes the request for a relay.
	 * @return what the relay has to know beyond the request itself
	 */
	RelayHeaders.Origin forRelay() {
		return this.search.forRelay(this.router.nowMs() - this.startedMs);
	}

	/**
	 * Returns what the router that has the caller knows of the request.
	 * @return its description; {@code null} if it is this router
	 */
	RelayHeaders.Origin origin() {
		return this.relayedFor;
	}

	/**
	 * Returns what the request has in common with others.
	 * @return the identity; {@code null} before the first attempt
	 */
	RequestIdentity identity() {
		return this.identity;
	}

	/**
	 * Returns the parts of the prompt that other requests may share.
	 * @return the parts in order; empty before the request is admitted
	 */
	List<PromptPart> parts() {
		return this.parts;
	}

	String teamName() {
		return (this.team != null) ? this.team.name() : null;
	}

	/**
	 * Returns the priority of the request among those that wait at an upstream: that of
	 * its team, otherwise that of its route.
	 * @return 0 for the most urgent; -1 if neither has one
	 */
	int priority() {
		boolean teams = this.team != null && this.team.priority() >= 0;
		return teams ? this.team.priority() : this.route.limits().priority();
	}

	RequestBody body() {
		return this.body;
	}

	/**
	 * Returns the upstreams that may have run the request and do not count as those that
	 * its route allows, as they have ended.
	 * @return their incarnations
	 */
	List<String> notCounted() {
		return this.search.notCounted();
	}

	/**
	 * Whether the answer has begun and waits to be resumed at an upstream.
	 * @return {@code false} while an attempt is under way
	 */
	boolean waitsToResume() {
		return this.resumeTimer.waiting();
	}

	boolean answerBegun() {
		return this.answerBegun;
	}

	CallerConnection caller() {
		return this.caller;
	}

	long leftMs() {
		return this.deadlineMs - this.router.nowMs();
	}

	EventStream events() {
		return this.events;
	}

	StreamProgress progress() {
		return this.progress;
	}

	/**
	 * Returns what prevented another attempt.
	 * @return the obstacle, or {@code null} if nothing did
	 */
	RetryObstacle obstacle() {
		return this.obstacle;
	}

	long startedMs() {
		return this.startedMs;
	}

	AttemptHistory history() {
		return this.history;
	}

	/**
	 * Returns how many tokens the request is expected to occupy.
	 * @return tokens of the prompt and of a usual answer
	 */
	int expectedTokens() {
		int usual = this.service.chained() ? this.service.model().meanAnswerTokens() : 0;
		return this.request.expectedTokens(usual);
	}

	/**
	 * Whether the request may be sent to an upstream at this moment. Checked immediately
	 * before it is sent, as the process may have been suspended after the key was
	 * checked.
	 * @return whether it may
	 */
	boolean stillAllowed() {
		return this.team == null || this.router.proof().honoursKeys(this.router.bootMs());
	}

}
