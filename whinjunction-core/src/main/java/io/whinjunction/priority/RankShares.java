package io.whinjunction.priority;

/**
 * The ratio of the requests of each rank that begins at a given load.
 * <p>
 * Load pattern: a burst of less urgent requests fills the engines, and the urgent ones
 * that come with it are late or find no room. The most urgent rank that arrives may use
 * all room. Below full load lies a range of loads that is divided among the ranks by
 * their parts of recent arrivals, the least urgent lowest. Each gives way over its part,
 * so it does only once those below it have, and leaves as much room as the more urgent
 * ones need.
 * <p>
 * Invariants: no rank is allowed more than a more urgent one; every rank is allowed at
 * least {@link #MIN_RATIO}; a rank and those below it give up no more work than the more
 * urgent ranks bring. Confined to the event loop.
 */
public final class RankShares {

	/**
	 * The ratio of its requests that each rank may begin at any load, so that none
	 * starves.
	 */
	static final double MIN_RATIO = 0.1;

	/** The load at which engines count as full, apart from what is not reported yet. */
	private static final double FULL_LOAD = 0.9;

	/**
	 * The range below full load over which ranks give way, from the load at which engines
	 * begin to slow down. It is a range as all routers read much the same load: with one
	 * threshold all would stop and go on together.
	 */
	private static final double RESERVE = 0.2;

	/** Lower bound of the part of the range that belongs to a rare rank. */
	private static final double MIN_WIDTH = 0.01;

	/** Arrivals count for about this time, in milliseconds. */
	private static final double TIME_CONSTANT_MS = 5000;

	private final double[] tokens = new double[RequestRank.COUNT];

	private long updatedMs;

	/**
	 * Records an arrival.
	 * @param rank its rank
	 * @param requestTokens its size in tokens
	 * @param nowMs the time
	 */
	public void arrived(int rank, long requestTokens, long nowMs) {
		decay(nowMs);
		this.tokens[rank] += Math.max(1, requestTokens);
	}

	/**
	 * Returns the ratio of a rank's requests that may begin.
	 * @param rank the rank
	 * @param load the load, from 0 to 1
	 * @return from {@link #MIN_RATIO} to 1
	 */
	public double allowedRatio(int rank, double load) {
		double moreUrgent = 0;
		double all = 0;
		for (int other = 0; other < RequestRank.COUNT; other++) {
			all += this.tokens[other];
			moreUrgent += (other < rank) ? this.tokens[other] : 0;
		}
		if (moreUrgent <= 0) {
			return 1;
		}
		double limit = FULL_LOAD - RESERVE * moreUrgent / all;
		double width = Math.max(MIN_WIDTH, RESERVE * this.tokens[rank] / all);
		double notAbove = all - moreUrgent;
		double least = (notAbove > moreUrgent) ? 1 - moreUrgent / notAbove : 0;
		return Math.clamp((limit - load) / width, Math.max(MIN_RATIO, least), 1);
	}

	/**
	 * Returns how fast requests of a rank arrive.
	 * @param rank the rank
	 * @param nowMs the time
	 * @return tokens per millisecond
	 */
	public double arrivalRate(int rank, long nowMs) {
		decay(nowMs);
		return this.tokens[rank] / TIME_CONSTANT_MS;
	}

	private void decay(long nowMs) {
		double factor = Math.exp(-Math.max(0, nowMs - this.updatedMs) / TIME_CONSTANT_MS);
		for (int rank = 0; rank < RequestRank.COUNT; rank++) {
			this.tokens[rank] *= factor;
		}
		this.updatedMs = Math.max(this.updatedMs, nowMs);
	}

}
