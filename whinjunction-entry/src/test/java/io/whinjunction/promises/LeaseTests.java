package io.whinjunction.promises;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.engine.EngineClient.LoadOrder;
import io.whinjunction.engine.EngineClient.Step;
import io.whinjunction.engine.EngineClient.StepResult;
import io.whinjunction.lease.LeaderElector;
import io.whinjunction.standins.FakeEngine;
import io.whinjunction.standins.FakeObjectStore;
import io.whinjunction.standins.FakeObjectStore.Fault;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a lease has at most one acting holder, although it can expire while its
 * holder is suspended and does not notice.
 */
class LeaseTests {

	private static final long TTL_MS = 5000;

	private static final LayerRange LOWER = new LayerRange(0, 8);

	private static final LayerRange UPPER = new LayerRange(8, 16);

	private final VirtualTicker ticker = new VirtualTicker();

	private final FakeObjectStore store = new FakeObjectStore();

	private int nonces;

	// Candidates are suspended for arbitrary times, and the platform becomes unavailable
	// or loses replies. At no moment may two candidates act, and a later holder must have
	// a higher fencing number.
	@Property(seed = "91", tries = 500)
	void atMostOneActsAndFencingNumbersOnlyIncrease(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		List<LeaderElector> candidates = List.of(candidate("a"), candidate("b"), candidate("c"));
		long[] suspendedUntilMs = new long[3];
		long highest = 0;
		for (int i = 0; i < 300; i++) {
			this.ticker.advance(random.nextInt(1200));
			if (random.nextInt(10) == 0) {
				this.store.fault(Fault.values()[random.nextInt(Fault.values().length)]);
			}
			for (int k = 0; k < 3; k++) {
				if (random.nextInt(20) == 0) {
					suspendedUntilMs[k] = this.ticker.nowMs() + random.nextInt(20_000);
				}
				if (this.ticker.nowMs() >= suspendedUntilMs[k]) {
					candidates.get(k).renewOrAcquire();
				}
			}
			List<LeaderElector> holding = new ArrayList<>(candidates);
			holding.removeIf((candidate) -> !candidate.holds());
			assertThat(holding).hasSizeLessThanOrEqualTo(1);
			for (LeaderElector holder : holding) {
				assertThat(holder.fencing()).isGreaterThanOrEqualTo(highest);
				highest = holder.fencing();
			}
		}
	}

	@Test
	void anotherCandidateTakesOverAfterTheTimeToLive() {
		LeaderElector a = candidate("a");
		LeaderElector b = candidate("b");
		a.renewOrAcquire();
		b.renewOrAcquire();
		assertThat(a.holds()).isTrue();
		this.ticker.advance(TTL_MS);
		b.renewOrAcquire();
		assertThat(a.holds()).isFalse();
		assertThat(b.holds()).isTrue();
		assertThat(b.fencing()).isGreaterThan(a.fencing());
	}

	@Test
	void aReleasedLeaseIsAcquiredAtOnce() {
		LeaderElector a = candidate("a");
		a.renewOrAcquire();
		a.resign();
		LeaderElector b = candidate("b");
		b.renewOrAcquire();
		assertThat(b.holds()).isTrue();
	}

	// Guards against two acting holders: the read of a candidate takes long, the holder
	// renews the lease meanwhile, and the read returns that renewal. If the age of the
	// lease counts from the start of the read, the candidate takes over while the holder
	// still acts.
	@Test
	void aSlowReadDoesNotMakeTheLeaseOlder() {
		LeaderElector a = candidate("a");
		a.renewOrAcquire();
		AtomicBoolean slow = new AtomicBoolean(true);
		LeaderElector b = new LeaderElector(new InterleavedStore(this.store, () -> {
			if (slow.getAndSet(false)) {
				this.ticker.advance(TTL_MS / 2);
				a.renewOrAcquire();
			}
		}), "lease", "b", TTL_MS, this.ticker, () -> "b" + this.nonces++);
		b.renewOrAcquire();
		assertThat(a.holds()).isTrue();
		this.ticker.advance(TTL_MS / 2);
		b.renewOrAcquire();
		assertThat(a.holds()).isTrue();
		assertThat(b.holds()).isFalse();
	}

	// The old holder is suspended between its check and its order, and the new one has
	// already issued an order to the engine. The engine checks fencing numbers and
	// refuses the late order.
	@Test
	void anEngineThatChecksFencingRefusesTheLateOrderOfASuspendedHolder() {
		FakeEngine engine = new FakeEngine("llm", 16, null, 1, true);
		assertThat(engine.order(new LoadOrder("llm", UPPER, 1, 2))).isTrue();
		assertThat(engine.order(new LoadOrder("llm", LOWER, 1, 1))).isFalse();
		assertThat(engine.report().range()).isEqualTo(UPPER);
	}

	// The same, but the engine ignores fencing numbers and changes its layers during a
	// stream. The next step of the stream names the old generation and is refused, so the
	// order costs capacity but never runs a wrong layer in a draft.
	@Test
	void anEngineThatIgnoresFencingGivesNoWrongAnswerAfterALateOrder() {
		FakeEngine engine = new FakeEngine("llm", 16, LOWER, 1, false);
		assertThat(engine.step(step(0, 1))).isInstanceOf(StepResult.Done.class);
		engine.order(new LoadOrder("llm", UPPER, 1, 1));
		assertThat(engine.step(step(1, 1))).isInstanceOf(StepResult.Refused.class);
		engine.order(new LoadOrder("llm", LOWER, 2, 2));
		assertThat(engine.step(step(1, 1))).isInstanceOf(StepResult.Refused.class);
	}

	private static Step step(int position, long generation) {
		return new Step("s", 1, position, LOWER, generation, List.of("x"), 1);
	}

	private LeaderElector candidate(String id) {
		return new LeaderElector(this.store, "lease", id, TTL_MS, this.ticker, () -> id + this.nonces++);
	}

}
