package io.whinjunction.forward;

import java.util.Optional;

/**
 * This process's share of the retries that all routers together may send to one service.
 * <p>
 * Guards against retry storms: when everything fails at once, the retries of all routers
 * add up and keep the overload going after its cause is gone. Each router spends in
 * proportion to its own requests, so the ratio holds for the sum whichever routers come
 * and go. The slack is divided by {@link #SLACK_DIVISOR} times the number of routers, so
 * that partitioned, new and replaced routers, which have no record of what was spent
 * before, cannot push the sum over the bound. A process that has just started has half of
 * its share for a window: its predecessor may have spent a whole one, and all routers may
 * restart at once.
 * <p>
 * A process that needs none of its share lends retries to others. A loan is valid at the
 * borrower for at most one bucket after it was requested, and is counted here one bucket
 * longer than a retry of this process's own: it is counted for a whole window after its
 * latest possible use, so that the ratio and the slack still hold for the sum. A clock
 * that does not count suspensions only lets the lender count it longer.
 * <p>
 * Invariant: in each window of complete buckets, retries and loans are at most
 * {@link #RATIO_MARGIN} of the ratio times this process's requests plus its share of the
 * slack. Not thread-safe: confined to the event loop.
 */
public final class FleetRetryBudget {

	private static final int BUCKETS = 20;

	/** Keeps the sum under the bound if another router counts a request's arrival. */
	private static final double RATIO_MARGIN = 0.9;

	/**
	 * Leaves room for half as many routers again as are known: new and replaced ones.
	 */
	private static final double SLACK_DIVISOR = 1.5;

	/** The part of its share that a process has in the first window after its start. */
	private static final double STARTED_RATIO = SLACK_DIVISOR - 1;

	private final double ratio;

	private final double slack;

	private final long bucketMs;

	/** When the whole share of the slack is available, in milliseconds. */
	private final long wholeShareAtMs;

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
		this.wholeShareAtMs = startedMs + windowMs + this.bucketMs;
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
	 * @param routers the number of routers
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
	 * @param routers the number of routers
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
	 * @param routers the number of routers
	 * @return the counts of the window, and the retries left
	 */
	public Usage usage(long nowMs, int routers) {
		return new Usage(this.requests.sum(nowMs), this.retries.sum(nowMs), this.open, this.loans.sum(nowMs),
				left(nowMs, routers));
	}

	private double left(long nowMs, int routers) {
		double share = this.slack / (SLACK_DIVISOR * Math.max(1, routers));
		return RATIO_MARGIN * this.ratio * this.requests.sum(nowMs)
				+ Math.floor((nowMs < this.wholeShareAtMs) ? STARTED_RATIO * share : share) - this.open
				- this.retries.sum(nowMs) - this.loans.sum(nowMs);
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
			// The lender counts a loan no longer than it would take to arrive.
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
