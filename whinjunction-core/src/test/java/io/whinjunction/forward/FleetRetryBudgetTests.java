package io.whinjunction.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Repeats of all routers together.
 */
class FleetRetryBudgetTests {

	private static final double RATIO = 0.2;

	private static final double SLACK = 198;

	private static final long WINDOW_MS = 10_000;

	// Upstreams that fail for everybody are kept down by repeats. Eight routers want to
	// repeat all they can for a minute, while some of them are replaced by ones that know
	// nothing of what was spent. In no window may the sum be over the bound.
	@Property(tries = 20)
	void theSumOfAllRoutersStaysWithinTheBoundWhileSomeAreReplaced(@ForAll long seed) {
		Random random = new Random(seed);
		List<FleetRetryBudget> routers = new ArrayList<>();
		for (int index = 0; index < 8; index++) {
			routers.add(new FleetRetryBudget(RATIO, SLACK, WINDOW_MS));
		}
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> repeats = new ArrayDeque<>();
		for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
			if (nowMs % 10_000 == 5_000) {
				routers.set(random.nextInt(8), new FleetRetryBudget(RATIO, SLACK, WINDOW_MS));
			}
			FleetRetryBudget router = routers.get(random.nextInt(8));
			router.requested(nowMs);
			requests.add(nowMs);
			while (router.tryRepeat(nowMs, 8)) {
				repeats.add(nowMs);
			}
			long from = nowMs - WINDOW_MS;
			requests.removeIf((atMs) -> atMs <= from);
			repeats.removeIf((atMs) -> atMs <= from);
			assertThat(repeats.size()).isLessThanOrEqualTo((int) (RATIO * requests.size() + SLACK));
		}
	}

	@Test
	void aSingleFailureIsRepeatedAtOnce() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, SLACK, WINDOW_MS);
		budget.requested(0);

		assertThat(budget.tryRepeat(0, 8)).isTrue();
	}

	@Test
	void whatWasSpentComesBackAfterTheWindow() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, 12, WINDOW_MS);
		while (budget.tryRepeat(0, 8)) {
			budget.requested(0);
		}

		assertThat(budget.tryRepeat(WINDOW_MS / 2, 8)).isFalse();
		assertThat(budget.tryRepeat(2 * WINDOW_MS, 8)).isTrue();
	}

}
