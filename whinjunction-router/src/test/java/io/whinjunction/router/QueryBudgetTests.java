package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How many questions routers ask engines when everything is late at once.
 */
class QueryBudgetTests {

	@Test
	void aWholePathMayBeAskedAtOnce() {
		QueryBudget budget = new QueryBudget();

		assertThat(asked(budget, 1000, 1000, 9)).isEqualTo(QueryBudget.AT_ONCE);
	}

	// 88 routers with late streams on every path asked 580 times a second, and the
	// answers made more streams late. Over ten seconds the sum has to stay near its
	// bound.
	@Test
	void aFleetWhoseStreamsAreAllLateKeepsItsSumOfQuestions() {
		int sum = 0;
		for (int router = 0; router < 88; router++) {
			sum += asked(new QueryBudget(), 1000, 11_000, 88);
		}

		assertThat(sum / 10).isLessThan(650);
	}

	@Test
	void aSmallFleetAsksAsMuchAsItsPathsNeed() {
		assertThat(asked(new QueryBudget(), 1000, 2000, 9)).isGreaterThan(50);
	}

	private static int asked(QueryBudget budget, long fromMs, long toMs, int routers) {
		int asked = 0;
		for (long nowMs = fromMs; nowMs <= toMs; nowMs += 20) {
			for (int question = 0; question < 100; question++) {
				asked += budget.take(nowMs, routers) ? 1 : 0;
			}
		}
		return asked;
	}

}
