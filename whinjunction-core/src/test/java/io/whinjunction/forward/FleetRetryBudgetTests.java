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
 * The sum of the retries of all routers.
 */
class FleetRetryBudgetTests {

	private static final double RATIO = 0.2;

	private static final double SLACK = 198;

	private static final long WINDOW_MS = 10_000;

	// Guards against retries that keep failing upstreams overloaded. Eight routers
	// retry as much as they can for a minute, while some of them are replaced by
	// routers without a record of what was spent. The sum must stay within the bound
	// in every window.
	@Property(tries = 20)
	void theSumOfAllRoutersStaysWithinTheBoundWhileSomeAreReplaced(@ForAll long seed) {
		Random random = new Random(seed);
		List<FleetRetryBudget> routers = new ArrayList<>();
		for (int index = 0; index < 8; index++) {
			routers.add(new FleetRetryBudget(RATIO, SLACK, WINDOW_MS));
		}
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
			if (nowMs % 10_000 == 5_000) {
				routers.set(random.nextInt(8), new FleetRetryBudget(RATIO, SLACK, WINDOW_MS));
			}
			FleetRetryBudget router = routers.get(random.nextInt(8));
			router.requested(nowMs);
			requests.add(nowMs);
			while (router.tryRepeat(nowMs, 8)) {
				retries.add(nowMs);
			}
			long from = nowMs - WINDOW_MS;
			requests.removeIf((atMs) -> atMs <= from);
			retries.removeIf((atMs) -> atMs <= from);
			assertThat(retries.size()).isLessThanOrEqualTo((int) (RATIO * requests.size() + SLACK));
		}
	}

	@Test
	void aSingleFailureIsRetriedAtOnce() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, SLACK, WINDOW_MS);
		budget.requested(0);

		assertThat(budget.tryRepeat(0, 8)).isTrue();
	}

	@Test
	void theBudgetIsRestoredAfterTheWindow() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, 12, WINDOW_MS);
		while (budget.tryRepeat(0, 8)) {
			budget.requested(0);
		}

		assertThat(budget.tryRepeat(WINDOW_MS / 2, 8)).isFalse();
		assertThat(budget.tryRepeat(2 * WINDOW_MS, 8)).isTrue();
	}

}
