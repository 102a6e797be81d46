package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The number of status queries that routers send to engines when all streams are late at
 * once.
 */
class QueryBudgetTests {

	@Test
	void aCompletePathMayBeQueriedAtOnce() {
		QueryBudget budget = new QueryBudget();

		assertThat(queries(budget, 1000, 1000, 9)).isEqualTo(QueryBudget.MAX_BURST);
	}

	// Guards against an overload of the engines by status queries: 88 routers with
	// late streams on every path sent 580 queries a second, and the replies made more
	// streams late. Over ten seconds the fleet's total must stay near its bound.
	@Test
	void aFleetWhoseStreamsAreAllLateStaysWithinItsTotal() {
		int sum = 0;
		for (int router = 0; router < 88; router++) {
			sum += queries(new QueryBudget(), 1000, 11_000, 88);
		}

		assertThat(sum / 10).isLessThan(650);
	}

	@Test
	void aSmallFleetQueriesAsOftenAsItsPathsRequire() {
		assertThat(queries(new QueryBudget(), 1000, 2000, 9)).isGreaterThan(50);
	}

	private static int queries(QueryBudget budget, long fromMs, long toMs, int routers) {
		int queries = 0;
		for (long nowMs = fromMs; nowMs <= toMs; nowMs += 20) {
			for (int query = 0; query < 100; query++) {
				queries += budget.take(nowMs, routers) ? 1 : 0;
			}
		}
		return queries;
	}

}
