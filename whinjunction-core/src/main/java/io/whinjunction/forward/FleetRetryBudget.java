package io.whinjunction.forward;

import java.util.Optional;

/**
 * This process's share of the retries that all routers together may send to one service.
 * <p>
 * Guards against retry storms: when everything fails at once, the retries of all routers
 * add up and keep the overload going after its cause is gone. Each router spends in
 * proportion to its own requests, and an equal part of the slack, so that the sum stays
 * within the bound.
 * <p>
 * A process has no record of what its predecessor spent, and its requests may have gone
 * to another one. So ratio and slack are divided between processes that have run for a
 * whole window and those that have not. The former all ran when any window began in which
 * they send, so that there are no more of them than routers. The latter earn their part
 * of the slack by the time that they have run, and of the ratio by their own requests:
 * however often processes are started again, those of one router earn no more than one
 * that runs on.
 * <p>
 * A process that needs none of its share lends retries to others. A loan is valid at the
 * borrower for at most one bucket after it was requested, and is counted here one bucket
 * longer than a retry of this process's own: it is counted for a whole window after its
 * latest possible use, so that the ratio and the slack still hold for the sum. A clock
 * that does not count suspensions only lets the lender count it longer.
 * <p>
 * Invariant: the retries that may still arrive, those that arrived in a window of
 * complete buckets and the loans are at most this process's part of the ratio times its
 * requests plus its share of the slack. Not thread-safe: confined to the event loop.
 */
public final class FleetRetryBudget {

	private static final int BUCKETS = 20;

	/**
	 * The part of the ratio that a process has after its first window. The rest covers
	 * its successors, and requests that move to another router: both count them.
	 */
	private static final double RATIO_PART = 0.75;

	/** The part of the ratio that a process has in its first window. */
	private static final double STARTED_RATIO_PART = 0.2;

	/** The part of the slack that processes share after their first window. */
	private static final double SLACK_PART = 2.0 / 3;

	/**
	 * The part of the slack that processes earn in their first window. What is left is
	 * for routers that are not known yet.
	 */
	private static final double STARTED_SLACK_PART = 1.0 / 6;

	private final double ratio;

	private final double slack;

	private final long bucketMs;

	private final long windowMs;

	private final long startedMs;

	private final SlidingCount requests;

	/** The retries that can't arrive any more, by when that was found out. */
	private final SlidingCount retries;

	private final SlidingCount loans;

	/** The retries that were granted and may still arrive. */
	private int open;

	/**
	 * Creates a share of the budget.
	 * @param ratio the retries per request, over all routers
	 * @param slack the retries allowed in addition in a window, over all routers
	 * @param windowMs the window, in milliseconds
	 * @param startedMs when this process started, in milliseconds
	 */
	public FleetRetryBudget(double ratio, double slack, long windowMs, long startedMs) {
		this.ratio = ratio;
		this.slack = slack;
		this.bucketMs = windowMs / BUCKETS;
		this.windowMs = windowMs;
		this.startedMs = startedMs;
		this.requests = new SlidingCount(BUCKETS + 1, this.bucketMs);
		this.retries = new SlidingCount(BUCKETS + 1, this.bucketMs);
		this.loans = new SlidingCount(BUCKETS + 2, this.bucketMs);
	}

	/**
	 * Records the arrival of a request.
	 * @param nowMs the current time
	 */
	public void requested(long nowMs) {
		this.requests.add(nowMs, 1);
	}

	/**
	 * Acquires one retry if the budget allows it.
	 * @param nowMs the current time
	 * @param routers the number of routers; 0 if it is not known, so that there is no
	 * share of the slack
	 * @return the retry, or empty if it is not granted
	 */
	public Optional<Retry> acquire(long nowMs, int routers) {
		if (left(nowMs, routers) < 1) {
			return Optional.empty();
		}
		this.open++;
		return Optional.of(new Retry(true, nowMs));
	}

	/**
	 * Records that a retry is used that another process has lent, and counts.
	 * @param nowMs the current time
	 * @return the retry
	 */
	public Retry useLoan(long nowMs) {
		return new Retry(false, nowMs);
	}

	/**
	 * Lends one retry to another process, unless it is the last one of this process.
	 * @param nowMs the current time
	 * @param routers the number of routers; 0 if it is not known, so that there is no
	 * share of the slack
	 * @return whether it is lent
	 */
	public boolean lend(long nowMs, int routers) {
		if (left(nowMs, routers) < 2) {
			return false;
		}
		this.loans.add(nowMs, 1);
		return true;
	}

	/**
	 * Returns for how long a borrower may use a loan.
	 * @return milliseconds since it requested the loan, on a clock that counts
	 * suspensions
	 */
	public long loanValidityMs() {
		return this.bucketMs;
	}

	/**
	 * Returns what is counted now.
	 * @param nowMs the current time
	 * @param routers the number of routers; 0 if it is not known, so that there is no
	 * share of the slack
	 * @return the counts of the window, and the retries left
	 */
	public Usage usage(long nowMs, int routers) {
		return new Usage(this.requests.sum(nowMs), this.retries.sum(nowMs), this.open, this.loans.sum(nowMs),
				left(nowMs, routers));
	}

	private double left(long nowMs, int routers) {
		double earned = this.ratio * this.requests.sum(nowMs);
		double share = (routers > 0) ? this.slack / routers : 0;
		long ageMs = nowMs - this.startedMs;
		double allowed = (ageMs > this.windowMs + this.bucketMs) ? RATIO_PART * earned + SLACK_PART * share
				: STARTED_RATIO_PART * earned + STARTED_SLACK_PART * share * ageMs / this.windowMs;
		return allowed - this.open - this.retries.sum(nowMs) - this.loans.sum(nowMs);
	}

	/**
	 * One retry. It is counted as long as it may still arrive at an upstream, and for a
	 * window after that, so that retries that were granted in several windows do not
	 * arrive in one. Confined to the event loop.
	 */
	public final class Retry {

		/** Whether it was taken from the share of this process. */
		private final boolean own;

		private final long grantedMs;

		private boolean ended;

		private Retry(boolean own, long grantedMs) {
			this.own = own;
			this.grantedMs = grantedMs;
		}

		/**
		 * Records that it has arrived at an upstream, or can't arrive any more. Has no
		 * effect after the first end.
		 * @param nowMs the current time
		 */
		public void settle(long nowMs) {
			if (this.ended) {
				return;
			}
			end();
			// The lender counts a loan as if it arrived within its validity.
			if (this.own || nowMs - this.grantedMs > FleetRetryBudget.this.bucketMs) {
				FleetRetryBudget.this.retries.add(nowMs, 1);
			}
		}

		/**
		 * Gives it back, as it has reached no upstream. Has no effect after the first
		 * end.
		 * @return whether this process can use it again
		 */
		public boolean giveBack() {
			boolean usable = !this.ended && this.own;
			if (!this.ended) {
				end();
			}
			return usable;
		}

		private void end() {
			this.ended = true;
			if (this.own) {
				FleetRetryBudget.this.open--;
			}
		}

	}

	/**
	 * What a process counts of one service in a window. Immutable.
	 *
	 * @param requests the requests of its callers
	 * @param retries the retries that it sent
	 * @param open the retries that may still arrive
	 * @param loans the retries that it lent to others
	 * @param left the retries that it may still grant
	 */
	public record Usage(int requests, int retries, int open, int loans, double left) {
	}

}
