package io.whinjunction.chain;

/**
 * Cost of using an engine whose capacity is partly taken.
 * <p>
 * Load pattern: many requests arrive at once and fill the engines of one failure domain
 * while others, or copies of its layers, have capacity. Load moves away slowly at first
 * and strongly near the limit, and beyond the limit nothing new is sent: requests that
 * exceed an engine's capacity wait there until others finish. Stateless.
 */
public final class Congestion {

	/**
	 * Tokens that other routers may have sent to an engine since their last report.
	 */
	private static final double UNREPORTED_TOKENS = 6_000;

	/**
	 * The cost of an engine that is at most half full stays within a quarter of this.
	 */
	private static final double LOW_LOAD_MS = 5;

	/** Additional cost, reached when all capacity is taken. */
	private static final double HIGH_LOAD_MS = 40;

	/** Used ratio above which the additional cost applies. */
	private static final double HIGH_LOAD_RATIO = 0.7;

	private Congestion() {
	}

	/**
	 * Returns whether an engine takes nothing new. The size of the request itself is left
	 * out, otherwise large requests would be rejected long before small ones.
	 * @param usedRatio the ratio of the capacity that is known to be taken
	 * @param capacityTokens the total capacity, in tokens
	 * @return {@code true} if all of it may be taken
	 */
	public static boolean full(double usedRatio, long capacityTokens) {
		return usedRatio * capacityTokens >= capacityTokens - UNREPORTED_TOKENS;
	}

	/**
	 * Returns the cost of a hop.
	 * @param usedRatio the ratio of the capacity that is taken, the request itself
	 * included
	 * @return milliseconds for a hop that runs all layers of the engine
	 */
	public static double costMs(double usedRatio) {
		double lowLoadMs = LOW_LOAD_MS * usedRatio * usedRatio;
		double excess = Math.max(0, usedRatio - HIGH_LOAD_RATIO) / (1 - HIGH_LOAD_RATIO);
		return lowLoadMs + HIGH_LOAD_MS * excess * excess;
	}

}
