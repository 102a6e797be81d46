package io.whinjunction.session;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RetryBudget}.
 */
class RetryBudgetTests {

	// Every upstream fails. Each request asks for retries until it is told no. Without a
	// budget the load on the upstreams would be a multiple of the callers' requests.
	@Property(seed = "13")
	void retriesStayWithinTheirPartOfTheRequestsWhenEverythingFails(
			@ForAll @IntRange(min = 1, max = 5000) int requests) {
		RetryBudget budget = new RetryBudget(0.1, 20);
		int retries = 0;
		for (int i = 0; i < requests; i++) {
			budget.requested();
			while (budget.tryRetry()) {
				retries++;
			}
		}
		assertThat(retries).isLessThanOrEqualTo((int) (20 + 0.1 * requests + 1));
	}

	@Test
	void aLoneFailureIsRetried() {
		RetryBudget budget = new RetryBudget(0.1, 20);
		budget.requested();
		assertThat(budget.tryRetry()).isTrue();
	}

}
