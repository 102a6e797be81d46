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
 * A lease can lapse while its holder is paused and unaware, so two may believe that they
 * hold it.
 */
class LeaseTests {

	private static final long TTL_MS = 5000;

	private static final LayerRange LOWER = new LayerRange(0, 8);

	private static final LayerRange UPPER = new LayerRange(8, 16);

	private final VirtualTicker ticker = new VirtualTicker();

	private final FakeObjectStore store = new FakeObjectStore();

	private int nonces;

	// Candidates are paused for any time, the platform goes down or loses replies. At no
	// moment may two act, and whoever acts later has the higher fencing number.
	@Property(seed = "91", tries = 500)
	void atMostOneActsAndFencingNumbersOnlyGoUp(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		List<LeaderElector> keepers = List.of(keeper("a"), keeper("b"), keeper("c"));
		long[] pausedUntilMs = new long[3];
		long highest = 0;
		for (int i = 0; i < 300; i++) {
			this.ticker.advance(random.nextInt(1200));
			if (random.nextInt(10) == 0) {
				this.store.fault(Fault.values()[random.nextInt(Fault.values().length)]);
			}
			for (int k = 0; k < 3; k++) {
				if (random.nextInt(20) == 0) {
					pausedUntilMs[k] = this.ticker.nowMs() + random.nextInt(20_000);
				}
				if (this.ticker.nowMs() >= pausedUntilMs[k]) {
					keepers.get(k).renewOrAcquire();
				}
			}
			List<LeaderElector> holding = new ArrayList<>(keepers);
			holding.removeIf((keeper) -> !keeper.holds());
			assertThat(holding).hasSizeLessThanOrEqualTo(1);
			for (LeaderElector holder : holding) {
				assertThat(holder.fencing()).isGreaterThanOrEqualTo(highest);
				highest = holder.fencing();
			}
		}
	}

	@Test
	void anotherCandidateTakesOverAfterTheTimeToLive() {
		LeaderElector a = keeper("a");
		LeaderElector b = keeper("b");
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
	void aResignedLeaseIsTakenAtOnce() {
		LeaderElector a = keeper("a");
		a.renewOrAcquire();
		a.resign();
		LeaderElector b = keeper("b");
		b.renewOrAcquire();
		assertThat(b.holds()).isTrue();
	}

	// Two act at once. A candidate's read takes long; the holder renews meanwhile, and
	// the
	// read brings that renewal. Dated from when the read was asked for, the lease seems
	// unchanged for longer than it is, and the candidate takes over while the holder
	// still acts.
	@Test
	void aReadThatTookLongDoesNotMakeTheLeaseOlder() {
		LeaderElector a = keeper("a");
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

	// The old holder is paused between its check and its order; the new one has ordered
	// the engine already. The engine checks fencing numbers: the late order is refused.
	@Test
	void anEngineThatChecksRefusesTheLateOrderOfAPausedHolder() {
		FakeEngine engine = new FakeEngine("llm", 16, null, 1, true);
		assertThat(engine.order(new LoadOrder("llm", UPPER, 1, 2))).isTrue();
		assertThat(engine.order(new LoadOrder("llm", LOWER, 1, 1))).isFalse();
		assertThat(engine.report().range()).isEqualTo(UPPER);
	}

	// The same, but the engine ignores fencing numbers: it changes its layers under a
	// stream. The stream's next step names the old generation and is refused, so the
	// order costs capacity and never puts a wrong layer into a draft.
	@Test
	void anEngineThatDoesNotCheckCannotGiveAWrongAnswerAfterALateOrder() {
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

	private LeaderElector keeper(String id) {
		return new LeaderElector(this.store, "lease", id, TTL_MS, this.ticker, () -> id + this.nonces++);
	}

}
