package io.whinjunction.router;

import io.whinjunction.chain.PathFinder;

/**
 * Limits the rate of this router's status queries to engines.
 * <p>
 * Load pattern: a wave of engine losses in a large fleet, in which each router queries
 * all engines of the path of each late stream, independently of its peers. A router may
 * query a complete path at once, and after that only at a rate that bounds the fleet's
 * total, since a router reports a silent engine to its peers.
 * <p>
 * Invariant: in any time span, at most {@link #MAX_BURST} queries plus this router's
 * share of the fleet's rate over that span. Confined to one thread.
 */
final class QueryBudget {

	/**
	 * The maximum number of status queries in a burst: all engines of the longest path.
	 */
	static final int MAX_BURST = PathFinder.MAX_HOPS;

	/**
	 * Status queries per second of all routers together: about two for each engine of a
	 * fleet of a hundred.
	 */
	private static final double FLEET_PER_SECOND = 250;

	/**
	 * The minimum rate of a router, in status queries per second, however large the fleet
	 * is.
	 */
	private static final double MIN_PER_SECOND = 4;

	private static final double MS_PER_S = 1000;

	private double left = MAX_BURST;

	private long countedAtMs;

	/**
	 * Takes one status query from the budget.
	 * @param nowMs the current time
	 * @param routers the number of routers in the fleet
	 * @return whether the query may be sent
	 */
	boolean take(long nowMs, int routers) {
		double perSecond = Math.max(MIN_PER_SECOND, FLEET_PER_SECOND / Math.max(1, routers));
		this.left = Math.min(MAX_BURST, this.left + perSecond * Math.max(0, nowMs - this.countedAtMs) / MS_PER_S);
		this.countedAtMs = nowMs;
		if (this.left < 1) {
			return false;
		}
		this.left--;
		return true;
	}

}
