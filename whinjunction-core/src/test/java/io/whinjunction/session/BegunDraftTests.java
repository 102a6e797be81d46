package io.whinjunction.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.whinjunction.availability.UpstreamNotice;
import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Place;
import io.whinjunction.configuration.Service;
import io.whinjunction.configuration.Team;
import io.whinjunction.engine.EngineClient;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.outcome.Refusal.Code;
import io.whinjunction.pipeline.ChoicePolicy;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.place.PlaceRules;
import io.whinjunction.place.Placement;
import io.whinjunction.time.Ticker;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link DraftSession} for drafts whose next attempt cannot begin at once.
 */
class BegunDraftTests {

	private static final int DEADLINE_MS = 20_000;

	private static final long STEP_MS = 10;

	/** A draft that waits looks again after this time at the latest, with two steps. */
	private static final long LATEST_MS = 250 + 2 * STEP_MS;

	private static final int BACKOFF_MS = 2000;

	private static final int BEFORE_FAILURE = 2;

	private static final int TOKENS = 5;

	private static final List<String> ALL_TOKENS = List.of(" t1", " t2", " t3", " t4", " t5");

	private static final LayerRange RANGE = new LayerRange(0, 4);

	private static final Service.Model MODEL = new Service.Model("llm", 4, List.of(RANGE), true, 1, 1000, DEADLINE_MS);

	private final EventTicker ticker = new EventTicker();

	private final UpstreamTable table = new UpstreamTable();

	private final RecordingSink sink = new RecordingSink();

	private final ScriptedEngines engines = new ScriptedEngines();

	private RetryBudget budget = new RetryBudget(0.1, 20);

	private Placement placement = placement("d1");

	// Guards against streams that are cut within milliseconds since every engine of a
	// range requested a backoff.
	@Test
	void aBegunDraftGoesOnWhenTheLastEngineTakesWorkAgain() {
		this.table.replace(List.of(engine("a", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> shedOnce());

		DraftResult result = draft();

		assertAnswered(result);
		assertThat(this.ticker.nowMs).isBetween((long) BACKOFF_MS, BACKOFF_MS + LATEST_MS + TOKENS * STEP_MS);
	}

	// Guards against streams that are cut while the layers of the last engine are loaded
	// elsewhere.
	@Test
	void aBegunDraftGoesOnAtTheEngineThatReplacesTheLastOne() {
		this.table.replace(List.of(engine("a", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> address.equals("a") ? reset() : null);
		this.ticker.at(3000, () -> this.table.replace(List.of(engine("b", "d1"))));

		DraftResult result = draft();

		assertAnswered(result);
		assertThat(this.ticker.nowMs).isBetween(3000L, 3000 + LATEST_MS + TOKENS * STEP_MS);
	}

	// Guards against streams that are cut while only engines in places that are not
	// permitted hold the layers.
	@Test
	void aBegunDraftWaitsForAnEngineInAPermittedPlace() {
		this.table.replace(List.of(engine("a", "d1"), engine("other", "d2")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> {
			this.table.markLeaving("a");
			return address.equals("a") ? reset() : null;
		});
		this.ticker.at(3000, () -> this.table.replace(List.of(engine("b", "d1"), engine("other", "d2"))));

		assertAnswered(draft());

		assertThat(this.engines.called).doesNotContain("other");
	}

	// Guards against streams that are cut since the budget of retries is empty for a
	// moment.
	@Test
	void aBegunDraftGoesOnWhenTheBudgetAllowsIt() {
		this.budget = new RetryBudget(0.1, 1);
		assertThat(this.budget.tryRetry()).isTrue();
		this.table.replace(List.of(engine("a", "d1"), engine("b", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> failOnce());
		this.ticker.at(1000, () -> requests(10));

		DraftResult result = draft();

		assertAnswered(result);
		assertThat(this.ticker.nowMs).isBetween(1000L, 1000 + LATEST_MS + TOKENS * STEP_MS);
	}

	// Guards against drafts that wait in vain for a retry since no other draft and no
	// request earns one.
	@Test
	void aBegunDraftGoesOnThoughNothingElseEarnsItsRetry() {
		int reserve = 20;
		this.budget = new RetryBudget(0, reserve, this.ticker);
		for (int i = 0; i < reserve; i++) {
			assertThat(this.budget.tryRetry()).isTrue();
		}
		this.table.replace(List.of(engine("a", "d1"), engine("b", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> failOnce());

		assertAnswered(draft());

		assertThat(this.ticker.nowMs).isLessThanOrEqualTo(RetryBudget.REGAIN_MS / reserve + LATEST_MS);
	}

	// Guards against drafts without a pipeline that use up the retries of those that have
	// one.
	@Test
	void aDraftThatWaitsForAPipelineTakesNothingFromTheBudget() {
		this.budget = new RetryBudget(0.5, 1);
		this.table.replace(List.of(engine("a", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> shedOnce());
		List<Boolean> granted = new ArrayList<>();
		this.ticker.at(1000, () -> granted.add(this.budget.tryRetry()));
		this.ticker.at(BACKOFF_MS + 1000, () -> requests(2));

		DraftResult result = draft();

		assertThat(granted).containsExactly(true);
		assertAnswered(result);
		assertThat(this.ticker.nowMs).isGreaterThanOrEqualTo(BACKOFF_MS + 1000);
	}

	// Guards against waiting drafts that keep calling engines which have just failed.
	@Test
	void aWaitingDraftLeavesFailedEnginesAloneDuringTheirBackoff() {
		this.table.replace(List.of(engine("a", "d1"), engine("b", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> (this.ticker.nowMs < 10_000) ? reset() : null);

		DraftResult result = draft();

		assertAnswered(result);
		// Backoffs of 0.5 s to 8 s for each engine, and one round without a wait.
		assertThat(result.attempts()).isLessThanOrEqualTo(2 + 2 * 6);
	}

	@Test
	void aWaitingDraftEndsWhenItsCallerLeaves() {
		waitForEver();
		this.sink.cancelled = () -> this.ticker.nowMs >= 1000;

		assertEndsBy(1000, Code.UPSTREAM_FAILED);
	}

	@Test
	void aWaitingDraftEndsWhenTheProcessStops() {
		waitForEver();
		this.sink.stopping = () -> this.ticker.nowMs >= 1000;

		assertEndsBy(1000, Code.STOPPING);
	}

	@Test
	void aWaitingDraftEndsAtItsDeadline() {
		waitForEver();

		assertEndsBy(DEADLINE_MS, Code.DEADLINE);
	}

	@Test
	void aDraftThatWaitsForTheBudgetEndsAtItsDeadline() {
		this.budget = new RetryBudget(0, 1);
		assertThat(this.budget.tryRetry()).isTrue();
		this.table.replace(List.of(engine("a", "d1"), engine("b", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> failOnce());

		assertEndsBy(DEADLINE_MS, Code.DEADLINE);
	}

	// Guards against callers that wait in vain: the places of the draft are no longer
	// those of its team.
	@Test
	void aBegunDraftWhosePlacesAreWithdrawnEndsAtOnce() {
		this.table.replace(List.of(engine("a", "d1")));
		this.sink.afterTokens(BEFORE_FAILURE, () -> this.placement = placement("d2"));

		DraftResult result = draft();

		assertThat(code(result)).isEqualTo(Code.PLACE_NOT_PERMITTED);
		assertThat(this.ticker.nowMs).isLessThanOrEqualTo(TOKENS * STEP_MS);
	}

	// Guards against a refusal after one stall of the only engine, which may be over.
	@Test
	void aDraftWithoutATokenIsSentAgainToTheEngineThatFailedItOnce() {
		this.table.replace(List.of(engine("a", "d1")));
		this.engines.afterTokens(0, (address) -> failOnce());

		assertAnswered(draft());

		assertThat(this.ticker.nowMs).isEqualTo((1 + TOKENS) * STEP_MS);
	}

	@Test
	void aDraftWithoutATokenIsEndedAtOnce() {
		DraftResult none = draft();

		assertThat(none.outcome()).isInstanceOf(Outcome.NotRun.class);
		this.table.replace(List.of(engine("a", "d1")));
		this.engines.afterTokens(0, (address) -> shedOnce());

		DraftResult shed = draft();

		assertThat(shed.outcome()).isInstanceOf(Outcome.Unknown.class);
		assertThat(code(shed)).isEqualTo(Code.NO_UPSTREAM);
		assertThat(this.ticker.nowMs).isEqualTo(STEP_MS);
	}

	@Test
	void aDraftWithoutATokenAndBudgetIsEndedAtOnce() {
		this.budget = new RetryBudget(0.1, 1);
		assertThat(this.budget.tryRetry()).isTrue();
		this.table.replace(List.of(engine("a", "d1"), engine("b", "d1")));
		this.engines.afterTokens(0, (address) -> failOnce());

		DraftResult result = draft();

		assertThat(code(result)).isEqualTo(Code.UPSTREAM_FAILED);
		assertThat(this.ticker.nowMs).isEqualTo(STEP_MS);
	}

	private void waitForEver() {
		this.table.replace(List.of(engine("a", "d1")));
		this.engines.afterTokens(BEFORE_FAILURE, (address) -> reset());
	}

	private void assertEndsBy(long atMs, Code code) {
		DraftResult result = draft();

		assertThat(result.outcome()).isInstanceOf(Outcome.Unknown.class);
		assertThat(code(result)).isEqualTo(code);
		assertThat(result.tokens()).hasSize(BEFORE_FAILURE);
		assertThat(this.ticker.nowMs).isBetween(atMs, atMs + LATEST_MS);
	}

	private void assertAnswered(DraftResult result) {
		assertThat(result.outcome()).isInstanceOf(Outcome.Answered.class);
		assertThat(this.sink.tokens).isEqualTo(ALL_TOKENS);
	}

	private DraftResult draft() {
		DraftRequest request = new DraftRequest("r", MODEL, () -> this.placement, "prompt", TOKENS,
				this.ticker.nowMs + DEADLINE_MS);
		PipelineChooser chooser = new PipelineChooser(this.table, ChoicePolicy.standard(), this.ticker, new Random(1));
		return new DraftSession(request, chooser, this.table, this.engines, this.budget, this.ticker).run(this.sink);
	}

	private void requests(int count) {
		for (int i = 0; i < count; i++) {
			this.budget.recordRequest();
		}
	}

	private EngineClient.StepResult shedOnce() {
		this.engines.fault = null;
		this.table.answered("a", 503, new UpstreamNotice(false, BACKOFF_MS), this.ticker.nowMs);
		return new EngineClient.StepResult.Failed("status 503", false);
	}

	private EngineClient.StepResult failOnce() {
		this.engines.fault = null;
		return reset();
	}

	private static EngineClient.StepResult reset() {
		return new EngineClient.StepResult.Failed("reset", false);
	}

	private static Code code(DraftResult result) {
		Refusal refusal = switch (result.outcome()) {
			case Outcome.NotRun notRun -> notRun.refusal();
			case Outcome.Unknown unknown -> unknown.refusal();
			case Outcome.Answered answered -> throw new AssertionError("answered: " + answered);
		};
		return refusal.code();
	}

	private static Upstream engine(String id, String failureDomain) {
		return new Upstream(id, "llm", id, failureDomain, RANGE, 1, 100, 0, false);
	}

	private static Placement placement(String failureDomain) {
		Team team = new Team("team", Set.of(), Set.of("llm"), Set.of("p"), 1000, 1);
		return new Placement(team, new PlaceRules(new Configuration(1,
				Map.of("p", new Place("p", "region", Set.of(failureDomain))), Map.of(), Map.of())));
	}

	/** Virtual time with events; confined to one thread. */
	private static final class EventTicker implements Ticker {

		private final PriorityQueue<Event> events = new PriorityQueue<>();

		private long nowMs;

		void at(long atMs, Runnable action) {
			this.events.add(new Event(atMs, action));
		}

		@Override
		public long nowMs() {
			return this.nowMs;
		}

		@Override
		public void sleepMs(long durationMs) {
			long endMs = this.nowMs + durationMs;
			while (!this.events.isEmpty() && this.events.peek().atMs() <= endMs) {
				Event event = this.events.poll();
				this.nowMs = event.atMs();
				event.action().run();
			}
			this.nowMs = endMs;
		}

		private record Event(long atMs, Runnable action) implements Comparable<Event> {

			@Override
			public int compareTo(Event other) {
				return Long.compare(this.atMs, other.atMs);
			}

		}

	}

	/** Records tokens; confined to one thread. */
	private static final class RecordingSink implements TokenSink {

		private final List<String> tokens = new ArrayList<>();

		private BooleanSupplier cancelled = () -> false;

		private BooleanSupplier stopping = () -> false;

		private int actAfter;

		private Runnable action;

		void afterTokens(int count, Runnable newAction) {
			this.actAfter = count;
			this.action = newAction;
		}

		@Override
		public void token(String token) {
			this.tokens.add(token);
			if (this.action != null && this.tokens.size() == this.actAfter) {
				this.action.run();
			}
		}

		@Override
		public boolean cancelled() {
			return this.cancelled.getAsBoolean();
		}

		@Override
		public boolean stopping() {
			return this.stopping.getAsBoolean();
		}

	}

	/**
	 * Engines that hold all layers. A fault answers in their place, or returns
	 * {@code null} to let them run the step. Confined to one thread.
	 */
	private final class ScriptedEngines implements EngineClient {

		private final List<String> called = new ArrayList<>();

		private int faultAfter;

		private Function<String, StepResult> fault;

		void afterTokens(int count, Function<String, StepResult> newFault) {
			this.faultAfter = count;
			this.fault = newFault;
		}

		@Override
		public StepResult step(String address, Step step, long timeoutMs) {
			this.called.add(address);
			BegunDraftTests.this.ticker.sleepMs(STEP_MS);
			int tokens = step.position() + step.inputs().size();
			StepResult failed = (this.fault != null && tokens > this.faultAfter) ? this.fault.apply(address) : null;
			return (failed != null) ? failed : new StepResult.Done(step.stream(), step.attempt(), step.position(),
					step.range(), step.generation(), List.of(" t" + tokens));
		}

		@Override
		public void cancel(String address, String stream) {
			// Called on another thread after the draft; no test depends on it.
		}

		@Override
		public EngineReport report(String address) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean order(String address, LoadOrder order) {
			throw new UnsupportedOperationException();
		}

	}

}
