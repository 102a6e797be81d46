package io.whinjunction.limit;

import java.util.HashMap;
import java.util.Map;

import io.whinjunction.configuration.Team;

/**
 * One entry's part of every team's rate: a token bucket filled at the base share plus
 * what is lent.
 * <p>
 * Invariant: a bucket never holds more than one second's worth of its rate or one
 * request, whichever is more. Safe for all threads.
 */
public final class TeamLimits {

	/** Below this part of the base share an entry asks nobody. */
	private static final double ASK_ABOVE = 0.8;

	private static final double SMOOTHING = 0.5;

	private final Map<String, Bucket> buckets = new HashMap<>();

	/**
	 * Asks to start one request.
	 * @param team the team
	 * @param entryCount how many entries share its rate
	 * @param nowMs the time
	 * @return 0 where it may start, else in how many milliseconds one may
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
	 * The demand to tell a team's owner; called once per {@link LimitShares#RENEWAL_PERIOD_MS}.
	 * @param team the team
	 * @param entryCount how many entries share its rate
	 * @param nowMs the time
	 * @return the rate wanted beyond the base share; 0: nothing to ask
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
		return (bucket.demand > base * ASK_ABOVE) ? bucket.demand : 0;
	}

	/**
	 * Takes a loan.
	 * @param team the team
	 * @param lentPerSecond the rate lent
	 * @param askedAtMs when it was asked for; it runs from then
	 */
	public synchronized void grantLoan(String team, double lentPerSecond, long askedAtMs) {
		Bucket bucket = this.buckets.get(team);
		if (bucket != null) {
			bucket.lent = lentPerSecond;
			bucket.lentUntilMs = askedAtMs + LimitShares.LOAN_MS;
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

		// Starts full, as one that was idle: a first burst within the share passes.
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
