package io.whinjunction.router;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.chain.Hop;
import io.whinjunction.forward.AttemptOutcome;
import io.whinjunction.forward.CrashingRequests;
import io.whinjunction.forward.RequestFingerprint;
import io.whinjunction.forward.RetryDecision;
import io.whinjunction.forward.RetryPolicy;
import io.whinjunction.routing.RequestKind;
import io.whinjunction.routing.Route;
import io.whinjunction.routing.RoutedService;
import io.whinjunction.routing.RoutedTeam;

/**
 * One request from its head to the end of its answer.
 * <p>
 * Invariants: exactly one answer or abort reaches the caller; at most one attempt is
 * under way; a refusal is sent only where {@link RetryPolicy} says that nothing can have
 * run. Confined to the event loop.
 */
final class ForwardSession {

	/**
	 * When to come back where nothing can serve a request now, in milliseconds: a hole is
	 * found and filled in about this time.
	 */
	private static final long RETRY_AFTER_MS = 500;

	/** An engine that made a request fail is left alone this long, in milliseconds. */
	private static final long AVOID_MS = 700;

	/**
	 * A caller that doesn't say how long it waits is given this long, in milliseconds.
	 */
	private static final long DEFAULT_PATIENCE_MS = 30_000;

	/** The reason of what ends, or doesn't begin, since this process stops. */
	private static final String STOPPING = "stopping";

	/** The reason of what isn't sent, or not waited for, since upstreams end under it. */
	private static final String CRASHES_UPSTREAMS = "crashes-upstreams";

	private final RouterContext router;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final RequestBody body;

	private final long startedMs;

	private final AttemptHistory history = new AttemptHistory();

	/** {@code null} until the body is read as far as it is kept. */
	private RequestFingerprint fingerprint;

	private Route route;

	private RoutedTeam team;

	private RoutedService service;

	private long deadlineMs;

	private ScheduledFuture<?> timeout;

	private Attempt attempt;

	/** Where the newest attempt began; {@code null} before the first. */
	private Target lastTarget;

	/** The events of the answer, over all attempts. */
	private final EventStream events = new EventStream();

	private Answer failedAnswer;

	private boolean answerBegun;

	private boolean done;

	/**
	 * Whether it was sent although it crashes upstreams, to see whether it still does.
	 */
	private boolean triesAgain;

	private final StreamProgress progress = new StreamProgress();

	ForwardSession(RouterContext router, CallerConnection caller, CallerRequest request, long announcedBytes) {
		this.router = router;
		this.caller = caller;
		this.request = request;
		this.body = new RequestBody(announcedBytes);
		this.startedMs = router.nowMs();
	}

	/** Judges the head; the first attempt waits for the body. */
	void start() {
		switch (RequestGate.judge(this.router, this.request, this.body.announcedBytes())) {
			case RequestGate.Verdict.TurnedAway away -> {
				this.route = away.route();
				finish(away.outcome(), away.reason(), away.answer());
			}
			case RequestGate.Verdict.Admitted admitted -> begin(admitted);
		}
	}

	private void begin(RequestGate.Verdict.Admitted admitted) {
		this.route = admitted.route();
		this.team = admitted.team();
		this.service = admitted.service();
		this.router.budget(this.service.name()).requested(this.startedMs);
		long patienceMs = (this.request.patienceMs() >= 0) ? this.request.patienceMs() : DEFAULT_PATIENCE_MS;
		this.deadlineMs = this.startedMs + patienceMs;
		long limitMs = Math.min(patienceMs, this.route.limits().timeoutMs());
		this.timeout = this.router.loop().schedule(this::onTimeout, Math.max(0, limitMs), TimeUnit.MILLISECONDS);
	}

	/**
	 * A piece of the body came.
	 * @param content the bytes; owned by the caller of this method
	 */
	void onBody(ByteBuf content) {
		if (this.done) {
			return;
		}
		if (this.body.keep(content)) {
			return;
		}
		if (this.body.bytesWith(content) > this.router.configuration().limits().maxBodyBytes()) {
			finish("denied", "too-large", RequestGate.tooLarge());
			return;
		}
		if (this.body.passThrough()) {
			tryFirst();
		}
		if (this.attempt != null) {
			this.attempt.sendBody(content.retain());
		}
	}

	/** The body is whole. */
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

	/** The caller's connection ended: nobody waits for the answer. */
	void onCallerGone() {
		if (!this.done) {
			end("gone", "caller-gone");
		}
	}

	/**
	 * The caller takes more of the answer, or doesn't.
	 * @param writable whether it does
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
		if (givenUp() instanceof RetryDecision.Fail) {
			finish("failed", "timeout", Answer.own(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer came in time"));
		}
		else {
			finish("refused", "timeout", Answer.refusal("it could not be handed on in time", RETRY_AFTER_MS));
		}
	}

	private void onAnswerOverTime() {
		long leftMs = leftMs();
		if (leftMs > 0) {
			// The route's limit is for callers that have no answer; events that come are
			// delivered until the caller itself would leave.
			this.timeout = this.router.loop().schedule(this::onTimeout, leftMs, TimeUnit.MILLISECONDS);
			return;
		}
		end("broken", "deadline");
		this.caller.abort();
	}

	/**
	 * This process ends before the answer does.
	 * @return whether an answer was cut that had begun
	 */
	boolean onRouterEnds() {
		if (this.done) {
			return false;
		}
		giveUp(givenUp(), STOPPING);
		return this.answerBegun;
	}

	private void tryFirst() {
		this.fingerprint = RequestFingerprint.of(Objects.requireNonNullElse(teamName(), ""), this.request.method(),
				this.request.host(), this.request.uri(), this.body.soFar().nioBuffer());
		if (outlivesRouter()) {
			giveUp(new RetryDecision.Refuse(), STOPPING);
			return;
		}
		tryNext();
	}

	private void tryNext() {
		Optional<CrashingRequests.Refusal> crashing = this.router.crashGuard()
			.refusal(this.request.id(), this.fingerprint);
		if (crashing.isPresent()) {
			giveUp(givenUp(), CRASHES_UPSTREAMS, crashing.get().retryAfterMs());
			return;
		}
		this.triesAgain = this.router.crashGuard().isRefused(this.fingerprint);
		Optional<Target> target = chooseTarget();
		if (target.isEmpty()) {
			giveUp(givenUp(), "no-upstream");
			return;
		}
		this.lastTarget = target.get();
		this.attempt = new Attempt(this, target.get());
		this.attempt.start();
	}

	/**
	 * Whether an attempt that begins now is likely to be cut by the end of this process.
	 * What has begun to reach its caller goes on here as long as it can.
	 * @return {@code false} where this process goes on
	 */
	boolean outlivesRouter() {
		if (this.answerBegun || !this.router.stopping()) {
			return false;
		}
		boolean again = this.history.sent() + this.history.notSent() > 0;
		Optional<StopAdmission.Judgement> judgement = this.router.judgeInStop(new StopAdmission.Candidate(family(),
				this.route.repeatable(), again, this.request.lastEventId() != null, longestMs()));
		judgement.ifPresent((judged) -> RequestLog.judgedInStop(this, judged));
		return judgement.isPresent() && !judgement.get().begins();
	}

	// An answer in events goes on beyond its route's limit.
	private long longestMs() {
		long limitMs = this.route.limits().timeoutMs() - (this.router.nowMs() - this.startedMs);
		return (this.route.kind() == RequestKind.STREAMING) ? Long.MAX_VALUE : Math.min(limitMs, leftMs());
	}

	StopAdmission.Family family() {
		return StopAdmission.Family.of(this.route, this.service);
	}

	private Optional<Target> chooseTarget() {
		Set<String> sentTo = this.history.sentTo();
		boolean again = RetryPolicy.onlyTriedOnes(this.route, sentTo.size());
		TargetChooser.Wish wish = new TargetChooser.Wish(this.service, expectedTokens(), this.history.failedAt(),
				again ? sentTo : null, !this.answerBegun);
		return this.router.chooser().choose(wish, this.router.nowMs());
	}

	/**
	 * An attempt ended without an answer for the caller.
	 * @param end how
	 * @param faultyAddress the engine that made it fail, or {@code null}
	 */
	void onAttemptEnd(AttemptOutcome end, String faultyAddress) {
		Attempt ended = this.attempt;
		this.attempt = null;
		avoid(ended, end, faultyAddress);
		RequestLog.attemptEnded(this, ended, end, faultyAddress);
		if (this.done) {
			return;
		}
		RetryPolicy.History before = this.history.forRetry();
		this.history.ended(end);
		// Before a repeat is taken from what all routers share.
		if (outlivesRouter()) {
			giveUp(givenUp(), STOPPING);
			return;
		}
		RetryDecision next = RetryPolicy.next(this.route, end, before, leftMs(), this::repeatGranted);
		// What was passed on of an answer without events can't be taken back.
		boolean replayable = !this.body.passingThrough()
				&& (!this.answerBegun || this.route.kind() == RequestKind.STREAMING);
		if (next instanceof RetryDecision.Retry && replayable) {
			tryNext();
			return;
		}
		giveUp(givenUp(), end.reason());
	}

	private RetryDecision givenUp() {
		return this.history.givenUp(this.attempt != null && this.attempt.sent());
	}

	/**
	 * The attempt waits for an engine that doesn't answer.
	 * @param address the engine
	 */
	void onStalled(String address) {
		Attempt stalled = this.attempt;
		if (stalled != null && !this.done) {
			stalled.abandon();
			onAttemptEnd(new AttemptOutcome.Unknown("stalled"), address);
		}
	}

	/**
	 * Gives the attempt under way up for another one, where that is allowed.
	 * @param faultyAddress the engine that it waits for
	 * @return whether it was
	 */
	boolean moveElsewhere(String faultyAddress) {
		if (outlivesRouter()) {
			return false;
		}
		AttemptOutcome end = new AttemptOutcome.Unknown("stalled");
		RetryPolicy.History counted = new RetryPolicy.History(this.history.sent(), this.history.notSent(), true);
		RetryDecision next = RetryPolicy.next(this.route, end, counted, leftMs(), this::repeatGranted);
		if (!(next instanceof RetryDecision.Retry)) {
			return false;
		}
		Attempt stalled = this.attempt;
		stalled.abandon();
		this.attempt = null;
		avoid(stalled, end, faultyAddress);
		RequestLog.attemptEnded(this, stalled, end, faultyAddress);
		this.history.ended(end);
		tryNext();
		return true;
	}

	/**
	 * Looks for another path for the attempt under way.
	 * @param faultyAddress the engine to leave out
	 * @param first the hop that stays
	 * @return the whole path, or empty where there is none
	 */
	Optional<List<Hop>> detour(String faultyAddress, Hop first) {
		UpstreamState faulty = this.router.directory().findByAddress(this.service.name(), faultyAddress);
		if (faulty != null) {
			this.history.failedAt(faulty.incarnation());
		}
		TargetChooser.Wish wish = new TargetChooser.Wish(this.service, expectedTokens(), this.history.failedAt(), null,
				false);
		return this.router.chooser().detour(wish, first, this.router.nowMs());
	}

	private boolean repeatGranted() {
		return this.router.budget(this.service.name())
			.tryRepeat(this.router.nowMs(), this.router.peers().sharers(this.router.nowMs()));
	}

	private void avoid(Attempt ended, AttemptOutcome end, String faultyAddress) {
		long untilMs = this.router.nowMs() + AVOID_MS;
		UpstreamState faulty = (faultyAddress != null)
				? this.router.directory().findByAddress(this.service.name(), faultyAddress) : null;
		if (faulty != null) {
			faulty.avoidUntil(untilMs);
			this.history.failedAt(faulty.incarnation());
			this.router.engineMonitor().suspectReported(faulty.incarnation());
			return;
		}
		Upstream first = ended.target().first();
		// A chain may begin at the same engine again: a lost answer or a full engine says
		// little of it, and where the route allows no other one, there is none else.
		if (!this.service.chained()) {
			this.history.failedAt(first.incarnation());
		}
		UpstreamState state = this.router.directory().find(first.incarnation());
		if (state != null && !(end instanceof AttemptOutcome.Failed)) {
			state.avoidUntil(untilMs);
		}
	}

	private void giveUp(RetryDecision step, String reason) {
		giveUp(step, reason, reason.equals(STOPPING) ? RequestGate.RETRY_ELSEWHERE_MS : RETRY_AFTER_MS);
	}

	private void giveUp(RetryDecision step, String reason, long retryAfterMs) {
		if (this.answerBegun) {
			end("broken", reason);
			this.caller.abort();
		}
		else if (this.failedAnswer != null) {
			finish("failed-upstream", reason, this.failedAnswer);
		}
		else if (step instanceof RetryDecision.Refuse) {
			finish("refused", reason, Answer.refusal("it was not run: " + reason, retryAfterMs));
		}
		else {
			finish("failed", reason, Answer.own(HttpResponseStatus.BAD_GATEWAY, "it may have run: " + reason));
		}
	}

	/**
	 * An upstream ended while the request began there.
	 * @param upstream the upstream
	 * @param running whether it had begun to run the request and brought no result
	 */
	void upstreamEnded(Upstream upstream, boolean running) {
		this.router.crashGuard().crashed(this.fingerprint, upstream, running);
	}

	/** Upstreams end under this request elsewhere. */
	void onCrashesUpstreams() {
		// One that has brought results is another one's victim.
		if (!this.triesAgain && !this.answerBegun && this.attempt != null && this.attempt.underWay()) {
			giveUp(new RetryDecision.Fail(), CRASHES_UPSTREAMS);
		}
	}

	/** The request was answered, or brought events for a while. */
	void ranWell() {
		this.router.crashGuard().ranWell(this.fingerprint);
	}

	/**
	 * A whole answer is there for the caller.
	 * @param answer the answer
	 */
	void onAnswer(Answer answer) {
		this.attempt = null;
		ranWell();
		if (answer.status().codeClass() == HttpStatusClass.SUCCESS) {
			answeredWhole();
		}
		finish("answered", Integer.toString(answer.status().code()), answer);
	}

	/**
	 * The upstream answered that it failed; the answer is kept in case nothing better
	 * comes.
	 * @param answer the answer
	 */
	void onFailedAnswer(Answer answer) {
		ranWell();
		this.failedAnswer = answer;
		onAttemptEnd(new AttemptOutcome.Failed("status-" + answer.status().code()), null);
	}

	/**
	 * Whole events are there for the caller.
	 * @param head the head of the answer that they belong to
	 * @param content the events
	 */
	void onEvents(Answer head, ByteBuf content) {
		long nowMs = this.router.nowMs();
		if (!this.answerBegun) {
			this.answerBegun = true;
			this.caller.beginAnswer(head.status(), head.headers());
			this.router.metrics().firstEvent(nowMs - this.startedMs);
		}
		this.progress.came(nowMs, this.startedMs);
		this.caller.writeBody(content);
	}

	/** What was written goes out; the upstream is slowed where the caller is slow. */
	void onPause() {
		if (this.answerBegun) {
			this.caller.flush();
			if (!this.caller.writable() && this.attempt != null) {
				this.attempt.reading(false);
			}
		}
	}

	/**
	 * The answer in pieces is whole.
	 * @param head its head, for an answer without any piece
	 */
	void onStreamEnd(Answer head) {
		this.attempt = null;
		ranWell();
		answeredWhole();
		if (!this.answerBegun) {
			finish("answered", "empty", head);
			return;
		}
		end("answered", "stream");
		this.caller.endAnswer();
	}

	private void answeredWhole() {
		this.router.answered(family(), this.router.nowMs() - this.startedMs);
	}

	private void finish(String outcome, String reason, Answer answer) {
		end(outcome, reason);
		this.router.dialect().nameRequest(answer.headers(), this.request);
		this.caller.respond(answer);
	}

	private void end(String outcome, String reason) {
		this.done = true;
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		if (this.attempt != null) {
			this.attempt.abandon();
			this.attempt = null;
		}
		RequestLog.ended(this, outcome, reason);
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
	 * What the request has in common with its repeats.
	 * @return the fingerprint; {@code null} before the first attempt
	 */
	RequestFingerprint fingerprint() {
		return this.fingerprint;
	}

	String teamName() {
		return (this.team != null) ? this.team.name() : null;
	}

	/**
	 * The request's rank among those that wait at an upstream: its team's, else its
	 * route's.
	 * @return 0 for the most urgent; -1 where neither has one
	 */
	int priority() {
		boolean teams = this.team != null && this.team.priority() >= 0;
		return teams ? this.team.priority() : this.route.limits().priority();
	}

	RequestBody body() {
		return this.body;
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

	long startedMs() {
		return this.startedMs;
	}

	AttemptHistory history() {
		return this.history;
	}

	/**
	 * Tokens that the request is expected to take up. The most that its answer may have
	 * is two to three times what answers have.
	 * @return prompt and usual answer
	 */
	int expectedTokens() {
		int usual = this.service.chained() ? this.service.model().meanAnswerTokens() : 0;
		return this.request.promptTokens() + Math.min(this.request.answerTokens(), usual);
	}

	/**
	 * Whether the request may go to an upstream at this moment; asked right before it
	 * does, since the process may have been suspended after its key was checked.
	 * @return whether it may
	 */
	boolean stillAllowed() {
		return this.team == null || this.router.proof().honoursKeys(this.router.bootMs());
	}

}
