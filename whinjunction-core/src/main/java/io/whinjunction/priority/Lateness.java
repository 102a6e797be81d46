package io.whinjunction.priority;

/**
 * Smoothed ratio of measured times to the times that callers were promised.
 * <p>
 * Load pattern: all streams slow down together as engines fill up. A single stalled
 * stream, or the streams over one lost engine, are no such load: each sample counts at
 * most as 1, however late it is, and a few samples count less than many.
 * <p>
 * Invariant: the ratio is from 0 to 1 for any input and returns to 0 without samples.
 * Confined to the event loop.
 */
public final class Lateness {

	/** Samples lose their weight within a few of these, in milliseconds. */
	private static final double TIME_CONSTANT_MS = 2000;

	/** Weight of the assumption that nothing is late: that of a few samples. */
	private static final double PRIOR_SAMPLES = 3;

	private double sum;

	private double weight;

	private long updatedMs;

	/**
	 * Records a sample.
	 * @param ratio the measured time divided by the promised time; ignored unless it is a
	 * number of 0 or more
	 * @param nowMs the time
	 */
	public void record(double ratio, long nowMs) {
		if (!(ratio >= 0)) {
			return;
		}
		decay(nowMs);
		this.sum += Math.min(1, ratio);
		this.weight++;
	}

	/**
	 * Returns the smoothed ratio.
	 * @param nowMs the time
	 * @return from 0 to 1
	 */
	public double ratio(long nowMs) {
		decay(nowMs);
		return this.sum / (this.weight + PRIOR_SAMPLES);
	}

	private void decay(long nowMs) {
		double factor = Math.exp(-Math.max(0, nowMs - this.updatedMs) / TIME_CONSTANT_MS);
		this.sum *= factor;
		this.weight *= factor;
		this.updatedMs = Math.max(this.updatedMs, nowMs);
	}

}
