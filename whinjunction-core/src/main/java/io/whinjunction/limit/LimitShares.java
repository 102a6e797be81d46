package io.whinjunction.limit;

/**
 * Splits a team's rate between the entries.
 * <p>
 * Half of the rate is distributed among the entries in equal base shares, which need no
 * coordination. The team's owner lends the other half according to demand. The sum stays
 * within the rate whether or not the owner is available. Stateless.
 */
final class LimitShares {

	/** How long a loan is valid; a new owner waits for this time before it lends. */
	static final long LOAN_MS = 3000;

	/** The period at which entries report their demand to the owner. */
	static final long RENEWAL_PERIOD_MS = 1000;

	private static final double BASE_RATIO = 0.5;

	private LimitShares() {
	}

	static double base(double ratePerSecond, int entryCount) {
		return ratePerSecond * BASE_RATIO / Math.max(1, entryCount);
	}

	static double lendable(double ratePerSecond) {
		return ratePerSecond * (1 - BASE_RATIO);
	}

}
