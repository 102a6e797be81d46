package io.whinjunction.session;

import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.time.Ticker;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RetryBudget}.
 */
class RetryBudgetTests {

	// Every upstream fails, and each request retries until the budget refuses. Without a
	// budget the load on the upstreams would be a multiple of the callers' requests.
	@Property(seed = "13")
	void retriesStayWithinTheirRatioOfTheRequestsWhenEverythingFails(
			@ForAll @IntRange(min = 1, max = 5000) int requests) {
		RetryBudget budget = new RetryBudget(0.1, 20);
		int retries = 0;
		for (int i = 0; i < requests; i++) {
			budget.recordRequest();
			while (budget.tryRetry()) {
				retries++;
			}
		}
		assertThat(retries).isLessThanOrEqualTo((int) (20 + 0.1 * requests + 1));
	}

	// Regression: ten long drafts lost a stage five times in a row. The budget counted
	// only the few requests and not the progress between the failures, and refused to
	// resume two drafts that another pipeline could have completed.
	@Test
	void progressEarnsRetriesSoThatLongDraftsSurviveRepeatedFailures() {
		RetryBudget budget = new RetryBudget(0.1, 20);
		for (int i = 0; i < 10; i++) {
			budget.recordRequest();
		}
		for (int failure = 0; failure < 10; failure++) {
			for (int token = 0; token < 10 * 100; token++) {
				budget.recordToken();
			}
			for (int draft = 0; draft < 10; draft++) {
				assertThat(budget.tryRetry()).isTrue();
			}
		}
	}

	// Guards against retries that grow with the number of those that wait for one: all
	// fail and ask again all the time.
	@Property(seed = "14")
	void retriesOverTimeStayWithinTheRegainedReserve(@ForAll @IntRange(min = 1, max = 300) int durationS,
			@ForAll @IntRange(min = 1, max = 100) int reserve) {
		AtomicLong nowMs = new AtomicLong();
		RetryBudget budget = new RetryBudget(0.1, reserve, clock(nowMs));
		int retries = 0;
		while (nowMs.get() < durationS * 1000L) {
			while (budget.tryRetry()) {
				retries++;
			}
			nowMs.addAndGet(100);
		}
		double bound = reserve + (double) reserve * durationS * 1000 / RetryBudget.REGAIN_MS;
		assertThat(retries).isBetween((int) bound - 1, (int) bound + 1);
	}

	@Test
	void aSingleFailureIsRetried() {
		RetryBudget budget = new RetryBudget(0.1, 20);
		budget.recordRequest();
		assertThat(budget.tryRetry()).isTrue();
	}

	private static Ticker clock(AtomicLong nowMs) {
		return new Ticker() {

			@Override
			public long nowMs() {
				return nowMs.get();
			}

			@Override
			public void sleepMs(long durationMs) {
				nowMs.addAndGet(durationMs);
			}

		};
	}

}
