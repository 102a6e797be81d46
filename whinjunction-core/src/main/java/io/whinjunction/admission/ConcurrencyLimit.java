package io.whinjunction.admission;

/**
 * Limit of concurrent requests, fixed or adapted to their projected durations.
 * <p>
 * Guards against congestion collapse: with more requests running than the upstreams can
 * serve in time, every answer is late, steps time out, retries add to the load, and no
 * useful work is done although every engine is busy. The projected total duration of an
 * answer is reported with every token, so that congestion is detected long before the
 * first late answer. The limit grows while answers need less than half of their allowed
 * time and is reduced when they need more. After a reduction no further one is made until
 * the first can have taken effect. Entries that share upstreams converge to similar
 * limits without coordination.
 * <p>
 * Invariant: {@code min <= current <= max}. Guarded by the lock of its queue.
 */
public final class ConcurrencyLimit {

	/**
	 * The initial fast growth ends when answers need more than this ratio of their
	 * allowed time.
	 */
	private static final double FIRST_GROWTH_RATIO = 0.25;

	/**
	 * Answers that need more than this ratio of their allowed time indicate congestion.
	 */
	private static final double CONGESTED_RATIO = 0.5;

	/**
	 * The limit stops growing slightly below the congested ratio, which avoids
	 * oscillation.
	 */
	private static final double GROWTH_RATIO = 0.45;

	private static final double DECREASE_FACTOR = 0.85;

	private static final double SMOOTHING = 0.02;

	private static final double FIRST_GROWTH_PER_TOKEN = 0.05;

	private static final double GROWTH_PER_TOKEN = 0.005;

	/** The limit grows only while at least this ratio of it is in use. */
	private static final double IN_USE_RATIO = 0.8;

	private final int min;

	private final int max;

	private double current;

	private boolean firstGrowth = true;

	private double smoothedRatio;

	private double noDecreaseUntilMs = Double.NEGATIVE_INFINITY;

	private ConcurrencyLimit(int min, int start, int max) {
		this.min = min;
		this.current = start;
		this.max = max;
	}

	/**
	 * Returns a limit that never changes.
	 * @param count the limit
	 * @return the limit
	 */
	public static ConcurrencyLimit fixed(int count) {
		return new ConcurrencyLimit(count, count, count);
	}

	/**
	 * Returns a limit that adapts to the load.
	 * @param max the highest value it may reach
	 * @return the limit, with a low initial value
	 */
	public static ConcurrencyLimit adaptive(int max) {
		return new ConcurrencyLimit(Math.min(4, max), Math.min(16, max), max);
	}

	int current() {
		return (int) this.current;
	}

	/**
	 * Records the progress of a request.
	 * @param nowMs the time
	 * @param running the number of running requests
	 * @param projectedMs the projected total duration of its answer, in milliseconds
	 * @param allowedMs how long it may take, in milliseconds
	 */
	void recordProgress(double nowMs, int running, double projectedMs, double allowedMs) {
		this.smoothedRatio += SMOOTHING * (projectedMs / allowedMs - this.smoothedRatio);
		this.firstGrowth &= this.smoothedRatio < FIRST_GROWTH_RATIO;
		if (this.smoothedRatio > CONGESTED_RATIO && nowMs >= this.noDecreaseUntilMs) {
			this.current = Math.max(this.min, Math.min(this.current, running) * DECREASE_FACTOR);
			this.noDecreaseUntilMs = nowMs + projectedMs / 2;
		}
		else {
			// Long answers complete rarely. If the limit grew only on completions, a new
			// entry would keep most of its first callers waiting.
			grow(running, this.firstGrowth ? FIRST_GROWTH_PER_TOKEN : GROWTH_PER_TOKEN);
		}
	}

	/**
	 * Records the end of a request.
	 * @param running the number of running requests, including this one
	 */
	void recordCompletion(int running) {
		grow(running, this.firstGrowth ? 1 : 1 / Math.sqrt(this.current));
	}

	private void grow(int running, double growth) {
		if (this.smoothedRatio < GROWTH_RATIO && running >= this.current * IN_USE_RATIO) {
			this.current = Math.min(this.max, this.current + growth);
		}
	}

}
