package io.whinjunction.router;

import java.util.Arrays;

/**
 * Recent durations of the requests of a service, from their heads to the ends of their
 * answers.
 * <p>
 * Invariant: holds the last {@link #KEPT} durations, whatever their age. Confined to the
 * event loop.
 */
final class RecentDurations {

	/**
	 * How many durations are kept: those of the last 13 s at 10 requests a second per
	 * router, and enough to resolve a ratio of one in a hundred.
	 */
	static final int KEPT = 128;

	private final long[] durationsMs = new long[KEPT];

	private int count;

	/**
	 * Records the duration of an answered request.
	 * @param durationMs how long it took, in milliseconds
	 */
	void add(long durationMs) {
		this.durationsMs[this.count % KEPT] = durationMs;
		this.count++;
	}

	/**
	 * Whether the sample is large enough to resolve a ratio: twenty requests say nothing
	 * about one in a hundred.
	 * @param ratio the ratio, above 0
	 * @return whether {@link #ratioLongerThan} can be compared with it
	 */
	boolean canEstimate(double ratio) {
		return this.count * ratio >= 1;
	}

	/**
	 * Estimates the ratio of requests that take longer than a limit.
	 * <p>
	 * Requests in progress count with the time that they have taken so far (the
	 * product-limit estimator of survival analysis). Without them a process that has
	 * served for four seconds would find that nothing ever takes five, as only its short
	 * requests have ended. Beyond the longest duration that ended, the estimate is the
	 * ratio that was not observed to end.
	 * @param limitMs the limit, in milliseconds
	 * @param inProgressMs how long requests in progress have taken so far, in
	 * milliseconds
	 * @return from 0 to 1
	 */
	double ratioLongerThan(long limitMs, long[] inProgressMs) {
		long[] ended = Arrays.copyOf(this.durationsMs, Math.min(this.count, KEPT));
		Arrays.sort(ended);
		double over = 1;
		for (int index = 0; index < ended.length && ended[index] <= limitMs; index++) {
			long endedMs = ended[index];
			long longer = Arrays.stream(inProgressMs).filter((soFarMs) -> soFarMs >= endedMs).count();
			over *= 1 - 1.0 / (ended.length - index + longer);
		}
		return over;
	}

}
