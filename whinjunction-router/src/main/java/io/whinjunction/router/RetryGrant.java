package io.whinjunction.router;

import io.whinjunction.forward.FleetRetryBudget;

/**
 * What the retry budget granted to one attempt, which ends it once: settled or given
 * back. Confined to the event loop.
 */
sealed interface RetryGrant {

	/** The grant of a first attempt, which needs none. */
	RetryGrant NOT_NEEDED = new NotNeeded();

	/** Records that the attempt has arrived at an upstream, or can't arrive any more. */
	void settle();

	/** Gives it back, as the attempt has reached no upstream. */
	void giveBack();

	/** No retry. */
	record NotNeeded() implements RetryGrant {

		@Override
		public void settle() {
		}

		@Override
		public void giveBack() {
		}

	}

	/**
	 * A retry of a service.
	 *
	 * @param budgets the budgets of this router
	 * @param service the service
	 * @param retry the retry, which counts its end once
	 */
	record Granted(RetryBudgets budgets, String service, FleetRetryBudget.Retry retry) implements RetryGrant {

		@Override
		public void settle() {
			this.budgets.settled(this.retry);
		}

		@Override
		public void giveBack() {
			this.budgets.givenBack(this.service, this.retry);
		}

	}

}
