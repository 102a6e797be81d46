package io.whinjunction.router;

import io.whinjunction.chain.PathFinder;

/**
 * How many questions a router may ask engines.
 * <p>
 * The load it answers: a wave of losses in a large fleet. Each late stream asks all
 * engines of its path, each router for itself. A router may ask a whole path at once, and
 * then as many a second as leave the fleet's sum bounded: what one finds, it tells the
 * others.
 * <p>
 * Invariant: in any span, at most {@link #AT_ONCE} questions and the span's part of the
 * fleet's rate. Confined to one thread.
 */
final class QueryBudget {

	/** The questions of one look: all engines of the longest path. */
	static final int AT_ONCE = PathFinder.MOST_HOPS;

	/** Questions a second of all routers together: two for each engine of a hundred. */
	private static final double FLEET_PER_SECOND = 250;

	/** What a router may always ask a second, however large the fleet is. */
	private static final double LEAST_PER_SECOND = 4;

	private static final double MS_PER_S = 1000;

	private double left = AT_ONCE;

	private long countedAtMs;

	/**
	 * Asks for one question.
	 * @param nowMs the time
	 * @param routers how many routers there are
	 * @return whether it may be asked
	 */
	boolean take(long nowMs, int routers) {
		double perSecond = Math.max(LEAST_PER_SECOND, FLEET_PER_SECOND / Math.max(1, routers));
		this.left = Math.min(AT_ONCE, this.left + perSecond * Math.max(0, nowMs - this.countedAtMs) / MS_PER_S);
		this.countedAtMs = nowMs;
		if (this.left < 1) {
			return false;
		}
		this.left--;
		return true;
	}

}
