package io.whinjunction.limit;

import java.util.HashMap;
import java.util.Map;

import io.whinjunction.configuration.Team;

/**
 * An entry's share of the rate of each team: one token bucket per team, filled at the
 * base share plus the current loan.
 * <p>
 * Invariant: a bucket never holds more than one second's worth of its rate or one
 * request, whichever is greater. Thread-safe.
 */
public final class TeamLimits {

	/** Up to this ratio of the base share an entry requests no loan. */
	private static final double BORROW_THRESHOLD_RATIO = 0.8;

	private static final double SMOOTHING = 0.5;

	private final Map<String, Bucket> buckets = new HashMap<>();

	/**
	 * Takes a token for one request.
	 * @param team the team
	 * @param entryCount the number of entries that share its rate
	 * @param nowMs the time
	 * @return 0 if the request may start, otherwise the time in milliseconds until a
	 * token is available
	 */
	public synchronized long tryStart(Team team, int entryCount, long nowMs) {
		double base = LimitShares.base(team.ratePerSecond(), entryCount);
		Bucket bucket = this.buckets.computeIfAbsent(team.name(), (name) -> new Bucket(base, nowMs));
		double rate = bucket.rate(base, nowMs);
		bucket.fill(rate, nowMs);
		bucket.seen++;
		if (bucket.tokens >= 1) {
			bucket.tokens -= 1;
			return 0;
		}
		return Math.max(1, (long) Math.ceil((1 - bucket.tokens) * 1000 / rate));
	}

	/**
	 * Returns the demand to report to a team's owner and starts a new measurement; called
	 * once per {@link LimitShares#RENEWAL_PERIOD_MS}.
	 * @param team the team
	 * @param entryCount the number of entries that share its rate
	 * @param nowMs the time
	 * @return the smoothed request rate if the base share does not cover it; 0 if no loan
	 * is needed
	 */
	public synchronized double demandBeyondBase(Team team, int entryCount, long nowMs) {
		Bucket bucket = this.buckets.get(team.name());
		if (bucket == null) {
			return 0;
		}
		double elapsedS = Math.max(0.001, (nowMs - bucket.countedAtMs) / 1000.0);
		bucket.demand += SMOOTHING * (bucket.seen / elapsedS - bucket.demand);
		bucket.seen = 0;
		bucket.countedAtMs = nowMs;
		double base = LimitShares.base(team.ratePerSecond(), entryCount);
		return (bucket.demand > base * BORROW_THRESHOLD_RATIO) ? bucket.demand : 0;
	}

	/**
	 * Applies a loan granted by the team's owner.
	 * @param team the team
	 * @param lentPerSecond the rate lent
	 * @param requestedAtMs when it was requested; its validity is counted from then
	 */
	public synchronized void grantLoan(String team, double lentPerSecond, long requestedAtMs) {
		Bucket bucket = this.buckets.get(team);
		if (bucket != null) {
			bucket.lent = lentPerSecond;
			bucket.lentUntilMs = requestedAtMs + LimitShares.LOAN_MS;
		}
	}

	private static final class Bucket {

		private double tokens;

		private long filledAtMs;

		private double lent;

		private long lentUntilMs = Long.MIN_VALUE;

		private int seen;

		private double demand;

		private long countedAtMs;

		// Starts full, like a bucket that was idle, so that a first burst within the
		// share is admitted.
		Bucket(double base, long nowMs) {
			this.tokens = Math.max(1, base);
			this.filledAtMs = nowMs;
			this.countedAtMs = nowMs;
		}

		double rate(double base, long nowMs) {
			return (nowMs < this.lentUntilMs) ? base + this.lent : base;
		}

		void fill(double rate, long nowMs) {
			double filled = this.tokens + rate * (nowMs - this.filledAtMs) / 1000.0;
			this.tokens = Math.min(filled, Math.max(1, rate));
			this.filledAtMs = nowMs;
		}

	}

}
