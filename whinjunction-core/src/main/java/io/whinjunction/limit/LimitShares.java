package io.whinjunction.limit;

/**
 * How a team's rate is split between entries.
 * <p>
 * Half of the rate belongs to the entries in equal base shares, which need no agreement;
 * the other half is lent by the team's owner to where the demand is. The sum is within
 * the rate whatever the owner does or whether it lives. Stateless.
 */
final class LimitShares {

	/** How long a lent share is good for; a new owner waits as long before it lends. */
	static final long LOAN_MS = 3000;

	/** How often demand is told to the owner. */
	static final long RENEWAL_PERIOD_MS = 1000;

	private static final double BASE_PART = 0.5;

	private LimitShares() {
	}

	static double base(double ratePerSecond, int entryCount) {
		return ratePerSecond * BASE_PART / Math.max(1, entryCount);
	}

	static double lendable(double ratePerSecond) {
		return ratePerSecond * (1 - BASE_PART);
	}

}
