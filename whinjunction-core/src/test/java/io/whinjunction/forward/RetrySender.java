package io.whinjunction.forward;

import java.util.Optional;

/**
 * Sends retries that arrive at once. Stateless.
 */
final class RetrySender {

	private RetrySender() {
	}

	/** Sends a retry if the budget allows it. */
	static boolean send(FleetRetryBudget budget, long nowMs, int routers) {
		Optional<FleetRetryBudget.Retry> retry = budget.acquire(nowMs, routers);
		retry.ifPresent((granted) -> granted.settle(nowMs));
		return retry.isPresent();
	}

}
