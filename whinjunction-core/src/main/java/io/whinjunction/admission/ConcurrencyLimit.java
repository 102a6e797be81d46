package io.whinjunction.admission;

/**
 * How many requests may run at once, learned from their pace.
 * <p>
 * The failure it is there for: with more requests running than the upstreams can serve in
 * time, every answer is late, steps run into their limits, retries add to the load, and
 * nothing useful is done although every engine is busy. The pace is the time that an
 * answer will have taken in all, told with every token, so that congestion shows long
 * before the first late answer. The limit grows while answers need less than half of
 * their time and falls when they need more; after a fall it waits until the fall can have
 * had its effect. Entries that share upstreams settle at similar parts without talking to
 * each other.
 * <p>
 * Invariant: {@code least <= current <= most}. Confined to its queue's lock.
 */
public final class ConcurrencyLimit {

	/** Above this part of its time an answer's pace ends the first, fast growth. */
	private static final double CALM_PART = 0.25;

	/** Above this part of its time an answer's pace means congestion. */
	private static final double CONGESTED_PART = 0.5;

	/** Growth stops a little below, so that the limit does not swing. */
	private static final double GROW_PART = 0.45;

	private static final double FALL = 0.85;

	private static final double SMOOTHING = 0.02;

	private static final double FIRST_GROWTH_PER_TOKEN = 0.05;

	private static final double GROWTH_PER_TOKEN = 0.005;

	/** The limit grows only while it is in use. */
	private static final double IN_USE_PART = 0.8;

	private final int least;

	private final int most;

	private double current;

	private boolean firstGrowth = true;

	private double smoothedPart;

	private double quietUntilMs = Double.NEGATIVE_INFINITY;

	private ConcurrencyLimit(int least, int start, int most) {
		this.least = least;
		this.current = start;
		this.most = most;
	}

	/**
	 * A limit that never changes.
	 * @param count the limit
	 * @return the limit
	 */
	public static ConcurrencyLimit fixed(int count) {
		return new ConcurrencyLimit(count, count, count);
	}

	/**
	 * A limit that is learned.
	 * @param most the most it may become
	 * @return the limit, beginning low
	 */
	public static ConcurrencyLimit adaptive(int most) {
		return new ConcurrencyLimit(Math.min(4, most), Math.min(16, most), most);
	}

	int current() {
		return (int) this.current;
	}

	/**
	 * A request made progress.
	 * @param nowMs the time
	 * @param running how many run
	 * @param paceMs how long its whole answer will have taken at this pace
	 * @param allowedMs how long it may take
	 */
	void recordProgress(double nowMs, int running, double paceMs, double allowedMs) {
		this.smoothedPart += SMOOTHING * (paceMs / allowedMs - this.smoothedPart);
		this.firstGrowth &= this.smoothedPart < CALM_PART;
		if (this.smoothedPart > CONGESTED_PART && nowMs >= this.quietUntilMs) {
			this.current = Math.max(this.least, Math.min(this.current, running) * FALL);
			this.quietUntilMs = nowMs + paceMs / 2;
		}
		else {
			// Long answers end seldom; a fresh entry would keep most of its first callers
			// waiting if only their ends let the limit grow.
			grow(running, this.firstGrowth ? FIRST_GROWTH_PER_TOKEN : GROWTH_PER_TOKEN);
		}
	}

	/**
	 * A request ended.
	 * @param running how many were running, itself included
	 */
	void recordCompletion(int running) {
		grow(running, this.firstGrowth ? 1 : 1 / Math.sqrt(this.current));
	}

	private void grow(int running, double growth) {
		if (this.smoothedPart < GROW_PART && running >= this.current * IN_USE_PART) {
			this.current = Math.min(this.most, this.current + growth);
		}
	}

}
