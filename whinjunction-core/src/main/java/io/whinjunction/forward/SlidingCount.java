package io.whinjunction.forward;

import java.util.Arrays;

/**
 * Counts events of the recent past in buckets of equal length.
 * <p>
 * Invariant: an event is counted in its own bucket and in all following ones but one less
 * than there are buckets. Not thread-safe: confined to the event loop.
 */
final class SlidingCount {

	private final long bucketMs;

	private final int[] counts;

	private long newest = Long.MIN_VALUE;

	/**
	 * Creates a count without events.
	 * @param buckets the number of buckets
	 * @param bucketMs the length of each, in milliseconds
	 */
	SlidingCount(int buckets, long bucketMs) {
		this.counts = new int[buckets];
		this.bucketMs = bucketMs;
	}

	/**
	 * Counts events.
	 * @param nowMs the current time
	 * @param events their number
	 */
	void add(long nowMs, int events) {
		advance(nowMs);
		this.counts[index(this.newest)] += events;
	}

	/**
	 * Returns the number of events that are counted now.
	 * @param nowMs the current time
	 * @return the sum of all buckets
	 */
	int sum(long nowMs) {
		advance(nowMs);
		return Arrays.stream(this.counts).sum();
	}

	private void advance(long nowMs) {
		long now = nowMs / this.bucketMs;
		for (long passed = Math.max(this.newest + 1, now - this.counts.length + 1); passed <= now; passed++) {
			this.counts[index(passed)] = 0;
		}
		this.newest = Math.max(this.newest, now);
	}

	private int index(long bucket) {
		return (int) Math.floorMod(bucket, (long) this.counts.length);
	}

}
