package io.whinjunction.forward;

import java.util.Arrays;

/**
 * This process's part of the repeats that all routers together may send to one service.
 * <p>
 * The failure it is there for: when everything fails at once, repeats of all routers add
 * up and keep the overload going after its cause is gone. Each router spends by its own
 * requests, so the ratio holds for the sum whatever comes and goes; the slack is divided
 * by {@link #SLACK_PARTS} times the routers, so that cut off, new and replaced ones,
 * which know nothing of what was spent before them, can't push the sum over.
 * <p>
 * Invariant: in each window of whole buckets, repeats are at most {@link #RATIO_PART} of
 * the ratio times this process's requests plus its part of the slack. Not safe for
 * threads: confined to the event loop.
 */
public final class FleetRetryBudget {

	private static final int BUCKETS = 20;

	/** Keeps the sum under its bound where a request's arrival is counted elsewhere. */
	private static final double RATIO_PART = 0.9;

	/** Room for half as many routers again as are known: new and replaced ones. */
	private static final double SLACK_PARTS = 1.5;

	private final double ratio;

	private final double slack;

	private final long bucketMs;

	private final int[] requests = new int[BUCKETS + 1];

	private final int[] repeats = new int[BUCKETS + 1];

	private long bucket = Long.MIN_VALUE;

	/**
	 * A part of the budget.
	 * @param ratio repeats for each request, over all routers
	 * @param slack repeats that are allowed besides in a window, over all routers
	 * @param windowMs the window, in milliseconds
	 */
	public FleetRetryBudget(double ratio, double slack, long windowMs) {
		this.ratio = ratio;
		this.slack = slack;
		this.bucketMs = windowMs / BUCKETS;
	}

	/**
	 * A request came.
	 * @param nowMs the time
	 */
	public void requested(long nowMs) {
		this.requests[advance(nowMs)]++;
	}

	/**
	 * Asks for one repeat.
	 * @param nowMs the time
	 * @param routers how many routers there are
	 * @return whether it is granted
	 */
	public boolean tryRepeat(long nowMs, int routers) {
		int index = advance(nowMs);
		double allowed = RATIO_PART * this.ratio * Arrays.stream(this.requests).sum()
				+ Math.floor(this.slack / (SLACK_PARTS * Math.max(1, routers)));
		if (Arrays.stream(this.repeats).sum() + 1 > allowed) {
			return false;
		}
		this.repeats[index]++;
		return true;
	}

	private int advance(long nowMs) {
		long now = nowMs / this.bucketMs;
		long from = Math.max(this.bucket + 1, now - BUCKETS);
		for (long passed = from; passed <= now; passed++) {
			this.requests[(int) Math.floorMod(passed, (long) BUCKETS + 1)] = 0;
			this.repeats[(int) Math.floorMod(passed, (long) BUCKETS + 1)] = 0;
		}
		this.bucket = Math.max(this.bucket, now);
		return (int) Math.floorMod(this.bucket, (long) BUCKETS + 1);
	}

}
