package io.whinjunction.router;

import java.util.Arrays;

/**
 * How long the requests of a service took lately, from their heads to the ends of their
 * answers.
 * <p>
 * Invariant: the last {@link #KEPT} are kept, whatever their age. Confined to the event
 * loop.
 */
final class RecentDurations {

	/**
	 * How many are kept: at 10 requests a second and router those of the last 13 s, and
	 * enough to tell one in a hundred.
	 */
	static final int KEPT = 128;

	private final long[] tookMs = new long[KEPT];

	private int count;

	/**
	 * A request was answered.
	 * @param durationMs how long it took, in milliseconds
	 */
	void add(long durationMs) {
		this.tookMs[this.count % KEPT] = durationMs;
		this.count++;
	}

	/**
	 * Whether enough was seen to tell a part: of one in a hundred, twenty requests say
	 * nothing.
	 * @param part the part, above 0
	 * @return whether {@link #ratioLongerThan} can be compared with it
	 */
	boolean canEstimate(double part) {
		return this.count * part >= 1;
	}

	/**
	 * Estimates the part of the requests that take longer than a limit.
	 * <p>
	 * Requests in progress count with the time that they have taken so far (the product
	 * limit of survival analysis). Without them a process that has served for four
	 * seconds would find that nothing ever takes five: only its short requests have
	 * ended. What is said beyond the longest that ended is the part that was not seen to
	 * end.
	 * @param limitMs the limit, in milliseconds
	 * @param inProgressMs how long requests in progress have taken so far, in
	 * milliseconds
	 * @return from 0 to 1
	 */
	double ratioLongerThan(long limitMs, long[] inProgressMs) {
		long[] ended = Arrays.copyOf(this.tookMs, Math.min(this.count, KEPT));
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
