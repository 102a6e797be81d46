package io.whinjunction.chain;

/**
 * Cost of starting a path at an engine, given how many requests start there already.
 * <p>
 * Load pattern: many routers send streams over the same fastest engines. Only the first
 * engine of a path counts a request against its slots, so these run out while its memory
 * is half empty, and requests queue there beside engines that hold the same layers and
 * have slots free. Each router knows the load as of a moment ago; if all moved away at
 * the same load, they would overfill the next engine together. So the load at which a
 * request starts elsewhere is drawn anew for each request, and the share of requests that
 * do rises with the load.
 * <p>
 * Invariants: an engine with at most {@link #FREE_RATIO} of its slots taken costs
 * nothing; one whose slots are all taken always costs the same, so that where all engines
 * are full the fastest path is chosen as if none was. Stateless.
 */
public final class StartSpread {

	/** Ratio of the slots below which all requests may start at an engine. */
	static final double FREE_RATIO = 0.3;

	/**
	 * Cost of starting at an engine whose slots are all taken, in milliseconds for each
	 * token: several times what a path over the slowest engines costs.
	 */
	static final double CROWDED_MS = 80;

	/** A load above this ratio costs no more; requests that queue count too. */
	static final double MAX_RATIO = 2;

	private StartSpread() {
	}

	/**
	 * Returns the cost of starting at an engine.
	 * @param slotRatio the ratio of the engine's slots that requests take; not a number
	 * counts as 0
	 * @param draw a random number from 0 to 1, drawn for each request
	 * @return milliseconds
	 */
	public static double costMs(double slotRatio, double draw) {
		double threshold = FREE_RATIO + (1 - FREE_RATIO) * Math.clamp(draw, 0, 1);
		double excess = Math.min(slotRatio, MAX_RATIO) - threshold;
		return (excess > 0) ? CROWDED_MS * excess / (1 - FREE_RATIO) : 0;
	}

}
