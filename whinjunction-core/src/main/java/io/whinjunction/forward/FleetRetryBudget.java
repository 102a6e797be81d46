package io.whinjunction.forward;

import java.util.Arrays;

/**
 * This process's share of the retries that all routers together may send to one service.
 * <p>
 * Guards against retry storms: when everything fails at once, the retries of all routers
 * add up and keep the overload going after its cause is gone. Each router spends in
 * proportion to its own requests, so the ratio holds for the sum whichever routers come
 * and go. The slack is divided by {@link #SLACK_DIVISOR} times the number of routers, so
 * that partitioned, new and replaced routers, which have no record of what was spent
 * before, cannot push the sum over the bound.
 * <p>
 * Invariant: in each window of complete buckets, retries are at most
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

	private final double ratio;

	private final double slack;

	private final long bucketMs;

	private final int[] requests = new int[BUCKETS + 1];

	private final int[] retries = new int[BUCKETS + 1];

	private long bucket = Long.MIN_VALUE;

	/**
	 * Creates a share of the budget.
	 * @param ratio the retries per request, over all routers
	 * @param slack the retries allowed in addition in a window, over all routers
	 * @param windowMs the window, in milliseconds
	 */
	public FleetRetryBudget(double ratio, double slack, long windowMs) {
		this.ratio = ratio;
		this.slack = slack;
		this.bucketMs = windowMs / BUCKETS;
	}

	/**
	 * Records the arrival of a request.
	 * @param nowMs the current time
	 */
	public void requested(long nowMs) {
		this.requests[advance(nowMs)]++;
	}

	/**
	 * Acquires one retry if the budget allows it.
	 * @param nowMs the current time
	 * @param routers the number of routers
	 * @return whether the retry is granted
	 */
	public boolean tryRepeat(long nowMs, int routers) {
		int index = advance(nowMs);
		double allowed = RATIO_MARGIN * this.ratio * Arrays.stream(this.requests).sum()
				+ Math.floor(this.slack / (SLACK_DIVISOR * Math.max(1, routers)));
		if (Arrays.stream(this.retries).sum() + 1 > allowed) {
			return false;
		}
		this.retries[index]++;
		return true;
	}

	/**
	 * Returns a retry that reached no upstream. It is not returned after the time in
	 * which it was acquired is over.
	 * @param nowMs the current time
	 */
	public void returnRepeat(long nowMs) {
		int index = advance(nowMs);
		this.retries[index] = Math.max(0, this.retries[index] - 1);
	}

	private int advance(long nowMs) {
		long now = nowMs / this.bucketMs;
		long from = Math.max(this.bucket + 1, now - BUCKETS);
		for (long passed = from; passed <= now; passed++) {
			this.requests[(int) Math.floorMod(passed, (long) BUCKETS + 1)] = 0;
			this.retries[(int) Math.floorMod(passed, (long) BUCKETS + 1)] = 0;
		}
		this.bucket = Math.max(this.bucket, now);
		return (int) Math.floorMod(this.bucket, (long) BUCKETS + 1);
	}

}
