package io.whinjunction.session;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

import io.whinjunction.engine.EngineClient;
import io.whinjunction.engine.EngineClient.Step;
import io.whinjunction.engine.EngineClient.StepResult;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.outcome.Refusal.Code;
import io.whinjunction.pipeline.Pipeline;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.PipelineChooser.Choice;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamLoad;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.place.Placement;
import io.whinjunction.time.Ticker;

/**
 * Runs one draft token by token, relaying activations from stage to stage.
 * <p>
 * Invariants: a token is delivered to the caller once, from one attempt, after each layer
 * ran for it exactly once and in order; a new attempt recomputes the KV cache of earlier
 * tokens but never delivers them again; "not run" is reported only if no step was sent. A
 * draft with tokens waits until its next attempt can begin, at most until its deadline;
 * one without tokens ends at once. Confined to one (virtual) thread.
 */
public final class DraftSession {

	private static final int RETRY_AFTER_S = 1;

	private static final long MIN_STEP_TIMEOUT_MS = 250;

	private static final double STEP_TIMEOUT_FACTOR = 20;

	/**
	 * The first pause before it is checked again whether an attempt can begin, in
	 * milliseconds; doubles with each further one up to the limit.
	 */
	private static final long FIRST_PAUSE_MS = 10;

	/**
	 * The longest such pause, in milliseconds. A stopping process sends its final errors
	 * within twice this time.
	 */
	private static final long MAX_PAUSE_MS = 250;

	private final DraftRequest request;

	private final PipelineChooser chooser;

	private final UpstreamTable table;

	private final EngineClient engines;

	private final RetryBudget budget;

	private final Ticker ticker;

	private final StepLedger ledger;

	private final List<String> tokens = new ArrayList<>();

	private final List<HopRecorder> hops = new ArrayList<>();

	private final Set<String> avoided = new HashSet<>();

	private final Set<Upstream> contacted = new HashSet<>();

	private final SplittableRandom jitter;

	private Placement placement;

	/** The pipeline of the newest attempt; {@code null} before the first. */
	private Pipeline lastPipeline;

	/** Why the next attempt cannot begin; {@code null} while none is awaited. */
	private Refusal blockage;

	private int attempt;

	private int rounds;

	private long pauseMs = FIRST_PAUSE_MS;

	public DraftSession(DraftRequest request, PipelineChooser chooser, UpstreamTable table, EngineClient engines,
			RetryBudget budget, Ticker ticker) {
		this.request = request;
		this.chooser = chooser;
		this.table = table;
		this.engines = engines;
		this.budget = budget;
		this.ticker = ticker;
		this.ledger = new StepLedger(request.model().layerCount());
		this.jitter = new SplittableRandom(request.id().hashCode());
	}

	/**
	 * Runs the draft and cancels its stream on all engines that received a step.
	 * @param sink receives the tokens as they are generated
	 * @return the result
	 */
	public DraftResult run(TokenSink sink) {
		this.budget.recordRequest();
		Outcome outcome = attempts(sink);
		cleanUp();
		return new DraftResult(outcome, List.copyOf(this.tokens), this.hops.stream().map(HopRecorder::hop).toList(),
				this.attempt);
	}

	private Outcome attempts(TokenSink sink) {
		this.placement = this.request.placement().get();
		boolean repeated = false;
		while (true) {
			if (this.placement == null) {
				return unsuccessful(Code.CONFIGURATION_UNCONFIRMED,
						"Where the data may be has changed, or is not known any more.");
			}
			Start start = start(repeated);
			if (start instanceof Start.Blocked blocked && !mayWait(blocked.refusal())) {
				return unsuccessful(blocked.refusal());
			}
			AttemptEnd end = switch (start) {
				case Start.Ready ready -> attempt(ready.pipeline(), sink);
				case Start.Blocked blocked -> pause(blocked.refusal(), sink);
			};
			if (end instanceof AttemptEnd.StageFailed) {
				repeated = true;
				end = Objects.requireNonNullElse(over(sink), end);
			}
			switch (end) {
				case AttemptEnd.Completed ignored -> {
					return new Outcome.Answered();
				}
				case AttemptEnd.CallerGone ignored -> {
					return unsuccessful(Code.UPSTREAM_FAILED, "The caller left before the answer was whole.");
				}
				case AttemptEnd.DeadlinePassed ignored -> {
					return unsuccessful(Code.DEADLINE, "The answer was not whole before its deadline." + blockedBy());
				}
				case AttemptEnd.Stopping ignored -> {
					return unsuccessful(Code.STOPPING,
							"This entry stops; its time was up before the answer was whole." + blockedBy());
				}
				case AttemptEnd.PlacementChanged ignored -> {
					// Continues with the new placement or ends; no engine has failed. The
					// placement is reused, since another request for it could mean a
					// second wait.
					repeated = false;
				}
				case AttemptEnd.StageFailed ignored -> this.placement = permission(sink);
				case AttemptEnd.NotBegun ignored -> this.placement = permission(sink);
			}
		}
	}

	// The budget is queried last: a draft that finds no pipeline must not use up the
	// retries of others.
	private Start start(boolean repeated) {
		Choice choice = choose();
		if (!(choice instanceof Choice.Chosen chosen)) {
			return new Start.Blocked(refusal(choice));
		}
		if (repeated && !this.budget.tryRetry()) {
			return new Start.Blocked(Refusal.temporary(Code.UPSTREAM_FAILED,
					"A stage failed and the budget for retries is used up.", RETRY_AFTER_S));
		}
		return new Start.Ready(chosen.pipeline());
	}

	// Engines in a permitted place may load the layers at any time, but only if the
	// places in which the draft has run are still those of its team.
	private boolean mayWait(Refusal refusal) {
		return begun() && (refusal.code() != Code.PLACE_NOT_PERMITTED || permitted(this.lastPipeline));
	}

	private boolean begun() {
		return !this.tokens.isEmpty();
	}

	private String blockedBy() {
		return (this.blockage != null) ? " It waited last: " + this.blockage.sentence() : "";
	}

	private AttemptEnd pause(Refusal refusal, TokenSink sink) {
		this.blockage = refusal;
		AttemptEnd over = over(sink);
		if (over != null) {
			return over;
		}
		long startMs = this.ticker.nowMs();
		long longestMs = Math.max(1, Math.min(this.pauseMs, this.request.deadlineMs() - startMs));
		this.pauseMs = Math.min(MAX_PAUSE_MS, 2 * this.pauseMs);
		try {
			this.ticker.sleepMs(this.jitter.nextLong(longestMs / 2, longestMs + 1));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new AttemptEnd.Stopping();
		}
		sink.paused(this.ticker.nowMs() - startMs);
		return new AttemptEnd.NotBegun();
	}

	// Returns why the draft ends before its answer is complete, or null.
	private AttemptEnd over(TokenSink sink) {
		if (sink.cancelled()) {
			return new AttemptEnd.CallerGone();
		}
		if (deadlinePassed()) {
			return new AttemptEnd.DeadlinePassed();
		}
		if (sink.stopping()) {
			return new AttemptEnd.Stopping();
		}
		return null;
	}

	private Choice choose() {
		Choice choice = this.chooser.pipeline(this.request.model(), this.placement, this.avoided);
		if (!(choice instanceof Choice.NoneAlive) || this.avoided.isEmpty()) {
			return choice;
		}
		if (this.rounds++ < this.request.model().ranges().size()) {
			// Every holder has failed this draft; a stall that affected all of them may
			// be over.
			this.avoided.clear();
			return choose();
		}
		return begun() ? this.chooser.rested(this.request.model(), this.placement) : choice;
	}

	private AttemptEnd attempt(Pipeline pipeline, TokenSink sink) {
		this.attempt++;
		this.lastPipeline = pipeline;
		this.blockage = null;
		this.ledger.abandon();
		List<UpstreamLoad> loads = new ArrayList<>();
		List<HopRecorder> recorders = new ArrayList<>();
		for (Upstream stage : pipeline.stages()) {
			UpstreamLoad load = this.table.load(stage.id());
			load.start();
			loads.add(load);
			recorders.add(new HopRecorder(this.attempt, stage));
		}
		this.hops.addAll(recorders);
		try {
			return tokens(pipeline, recorders, sink);
		}
		finally {
			loads.forEach(UpstreamLoad::end);
		}
	}

	private AttemptEnd tokens(Pipeline pipeline, List<HopRecorder> recorders, TokenSink sink) {
		// The first step of an attempt processes the prompt and all tokens that the
		// caller already has, which builds the KV cache of all stages. Each later step
		// processes one token.
		int position = 0;
		List<String> inputs = new ArrayList<>();
		inputs.add(this.request.prompt());
		inputs.addAll(this.tokens);
		while (this.tokens.size() < this.request.maxTokens()) {
			// Checked first, since it may wait; the conditions below must hold after the
			// wait.
			boolean permitted = stillPermitted(pipeline, sink);
			AttemptEnd over = over(sink);
			if (over != null) {
				return over;
			}
			if (!permitted) {
				return new AttemptEnd.PlacementChanged();
			}
			String token = token(pipeline, recorders, position, inputs);
			if (token == null) {
				return new AttemptEnd.StageFailed();
			}
			position += inputs.size();
			inputs = List.of(token);
			this.tokens.add(token);
			this.budget.recordToken();
			this.pauseMs = FIRST_PAUSE_MS;
			sink.token(token);
		}
		return new AttemptEnd.Completed();
	}

	// A place rule that is tightened while a long draft runs applies from the next token,
	// not only from the next draft.
	private boolean stillPermitted(Pipeline pipeline, TokenSink sink) {
		Placement before = this.placement;
		this.placement = permission(sink);
		return this.placement == before || (this.placement != null && permitted(pipeline));
	}

	private boolean permitted(Pipeline pipeline) {
		return pipeline.stages().stream().allMatch((stage) -> this.placement.permits(stage.failureDomain()));
	}

	// A draft of which nothing was sent does not wait, since "not run" can be reported at
	// once.
	private Placement permission(TokenSink sink) {
		if (this.contacted.isEmpty()) {
			return this.request.placement().get();
		}
		return this.request.awaitPlacement().apply(() -> sink.cancelled() || deadlinePassed() || sink.stopping());
	}

	private String token(Pipeline pipeline, List<HopRecorder> recorders, int position, List<String> inputs) {
		List<String> values = inputs;
		for (int i = 0; i < pipeline.stages().size(); i++) {
			Upstream stage = pipeline.stages().get(i);
			Step step = new Step(this.request.id(), this.attempt, position, stage.range(), stage.generation(), values,
					this.placement.team().weight());
			values = step(stage, step, recorders.get(i));
			if (values == null) {
				return null;
			}
		}
		return values.get(0);
	}

	private List<String> step(Upstream stage, Step step, HopRecorder recorder) {
		long startMs = this.ticker.nowMs();
		long timeoutMs = Math.max(1, Math.min(stepTimeoutMs(stage, step), this.request.deadlineMs() - startMs));
		this.ledger.open(step);
		StepResult result = this.engines.step(stage.address(), step, timeoutMs);
		long tookMs = this.ticker.nowMs() - startMs;
		switch (result) {
			case StepResult.Done done -> {
				this.contacted.add(stage);
				if (this.ledger.accept(done)) {
					this.table.succeeded(stage.id(), startMs, startMs + tookMs);
					recorder.ran(tookMs);
					return done.outputs();
				}
				fail(stage, recorder, tookMs, "answered another step");
			}
			case StepResult.NotSent notSent -> fail(stage, recorder, tookMs, "not sent: " + notSent.reason());
			case StepResult.Refused refused -> {
				this.contacted.add(stage);
				fail(stage, recorder, tookMs, "refused: " + refused.reason());
			}
			case StepResult.Failed failed -> {
				this.contacted.add(stage);
				if (failed.silent() && deadlinePassed()) {
					// The draft's own deadline passed before the engine's timeout.
					// Counted as a failure of the engine, late drafts would take healthy
					// engines out of service under overload.
					recorder.failed(tookMs, "the deadline came first");
				}
				else {
					fail(stage, recorder, tookMs, failed.reason());
				}
			}
		}
		return null;
	}

	private boolean deadlinePassed() {
		return this.ticker.nowMs() >= this.request.deadlineMs();
	}

	// A frozen engine does not answer. If its typical step time is known, a multiple of
	// it detects this much earlier than the configured timeout. The step of a prompt has
	// no typical time.
	private long stepTimeoutMs(Upstream stage, Step step) {
		double typicalMs = this.table.load(stage.id()).smoothedMs();
		long configuredMs = this.request.model().stepTimeoutMs();
		if (step.position() == 0 || typicalMs == 0) {
			return configuredMs;
		}
		return Math.min(configuredMs, Math.max(MIN_STEP_TIMEOUT_MS, (long) (typicalMs * STEP_TIMEOUT_FACTOR)));
	}

	private void fail(Upstream stage, HopRecorder recorder, long tookMs, String reason) {
		recorder.failed(tookMs, reason);
		this.avoided.add(stage.id());
		this.table.load(stage.id()).failed(this.ticker.nowMs());
	}

	private Refusal refusal(Choice choice) {
		return switch (choice) {
			case Choice.NonePermitted none -> Refusal.permanent(Code.PLACE_NOT_PERMITTED,
					"No place permitted for team '" + this.placement.team().name() + "' holds " + none.what() + ".");
			case Choice.NoneAlive none -> Refusal.temporary(Code.NO_UPSTREAM,
					"No permitted upstream holds " + none.what() + " and takes work now.",
					none.retryAfterS(RETRY_AFTER_S));
			case Choice.Chosen chosen -> throw new IllegalStateException("chosen: " + chosen);
		};
	}

	private Outcome unsuccessful(Code code, String sentence) {
		return unsuccessful(Refusal.temporary(code, sentence, RETRY_AFTER_S));
	}

	private Outcome unsuccessful(Refusal refusal) {
		return this.contacted.isEmpty() ? new Outcome.NotRun(refusal) : new Outcome.Unknown(refusal);
	}

	private void cleanUp() {
		for (Upstream stage : this.contacted) {
			Thread.startVirtualThread(() -> this.engines.cancel(stage.address(), this.request.id()));
		}
	}

	private sealed interface Start {

		record Ready(Pipeline pipeline) implements Start {
		}

		record Blocked(Refusal refusal) implements Start {
		}

	}

	private sealed interface AttemptEnd {

		record NotBegun() implements AttemptEnd {
		}

		record Completed() implements AttemptEnd {
		}

		record CallerGone() implements AttemptEnd {
		}

		record DeadlinePassed() implements AttemptEnd {
		}

		record Stopping() implements AttemptEnd {
		}

		record PlacementChanged() implements AttemptEnd {
		}

		record StageFailed() implements AttemptEnd {
		}

	}

}
