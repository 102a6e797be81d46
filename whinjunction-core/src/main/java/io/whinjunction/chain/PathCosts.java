package io.whinjunction.chain;

/**
 * Cost of sending a request through an engine, given its last known load.
 * <p>
 * Load pattern: each router chooses on its own and from reports that lag, so the cheapest
 * engine would be chosen by all routers until it is full. Costs rise with the used
 * capacity, with queued prompts, and with the slowdown of the engine. Stateless.
 */
public final class PathCosts {

	/**
	 * Cost of an avoided engine, in milliseconds: higher than any detour, so that it is
	 * only used if there is no alternative.
	 */
	private static final double AVOIDED_MS = 200;

	/**
	 * Cost per unit of slowdown, in milliseconds: the passes of a slow engine delay all
	 * of its requests, not only the layers of this one.
	 */
	private static final double SLOW_MS = 3;

	/**
	 * Weight of the expected wait for queued prompts, as if it were added to each token:
	 * callers notice that wait once, but a slow path at each of some fifty events.
	 */
	private static final double PREFILL_WEIGHT = 0.05;

	private PathCosts() {
	}

	/**
	 * Returns an engine with its costs for a request.
	 * @param profile the model
	 * @param engine the engine, which holds layers
	 * @param load the last known load of the engine
	 * @param tokens the expected size of the request, in tokens
	 * @return the engine with its costs
	 */
	public static PathFinder.Candidate rate(ModelProfile profile, Engine engine, Load load, int tokens) {
		int held = engine.heldLayers();
		double capacityTokens = Math.max(1, profile.kvCapacityTokens(engine.kind(), held));
		double concurrentRequests = load.usedRatio() * capacityTokens / Math.max(1, profile.meanTokens());
		double congestionMs = Congestion.costMs(load.usedRatio() + tokens / capacityTokens);
		double penaltyMs = (load.avoided() ? AVOIDED_MS : 0) + SLOW_MS * (load.slowdown() - 1)
				+ PREFILL_WEIGHT * profile.prefillMs(engine.kind(), held, load.pendingPromptTokens());
		return new PathFinder.Candidate(engine,
				load.slowdown() * profile.layerStepMs(engine.kind(), concurrentRequests) + congestionMs / held,
				penaltyMs, load.startMs());
	}

	/**
	 * Last known load of an engine. Immutable.
	 *
	 * @param usedRatio the ratio of its capacity that requests of all routers take; 1 or
	 * more if it is full
	 * @param pendingPromptTokens prompt tokens of all routers that are queued there
	 * @param slowdown the duration of its steps as a multiple of the usual one
	 * @param avoided whether it was recently found silent or failing
	 * @param startMs the cost of starting a request there, in milliseconds
	 * ({@link StartSpread})
	 */
	public record Load(double usedRatio, double pendingPromptTokens, double slowdown, boolean avoided, double startMs) {

		/**
		 * Creates the load of an engine at which requests may start at no additional
		 * cost.
		 * @param usedRatio the ratio of its capacity that requests of all routers take
		 * @param pendingPromptTokens prompt tokens that are queued there
		 * @param slowdown the duration of its steps as a multiple of the usual one
		 * @param avoided whether it was recently found silent or failing
		 */
		public Load(double usedRatio, double pendingPromptTokens, double slowdown, boolean avoided) {
			this(usedRatio, pendingPromptTokens, slowdown, avoided, 0);
		}

	}

}
