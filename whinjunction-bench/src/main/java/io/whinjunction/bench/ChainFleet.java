package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.EngineKind;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.Placement;

/**
 * Fleet of accelerators for the benchmarks of chains, mixed as in one of the users'
 * fleets. Immutable.
 *
 * @param name the name in results
 * @param model the model, with the figures that the users publish for theirs
 * @param mix the kinds of engines, repeated in this order in each failure domain
 * @param pauseTargetMs the longest pause between events that callers are promised, in
 * milliseconds
 */
record ChainFleet(String name, ModelProfile model, List<EngineKind> mix, double pauseTargetMs) {

	private static final EngineKind LARGE = new EngineKind("large", 72_000, 2.4, 3.2);

	private static final EngineKind SMALL = new EngineKind("small", 14_400, 5.3, 7.9);

	private static final EngineKind SLOW = new EngineKind("slow", 21_600, 16, 8.2);

	private static final EngineKind FAST_HALF = new EngineKind("fast-half", 36_000, 3.1, 3.2);

	private static final EngineKind SLOW_SMALL = new EngineKind("slow-small", 14_400, 15, 15);

	/** Per 15 engines: one large and fast, ten small of medium speed, four slow. */
	static final ChainFleet MIDDLING = new ChainFleet("middling",
			new ModelProfile("llm", 80, 1750, 845_373, 1.02, 0.0066, 0.0088, 164_000, 4, 14, 6, 134,
					new ModelProfile.Transfer(42_268, 13_000), 775, 216,
					Map.of("large", LARGE, "small", SMALL, "slow", SLOW)),
			mixed(LARGE, 1, SMALL, 10, SLOW, 4), 250);

	/** Per 13 engines: two fast with half the memory, and eleven slow. */
	static final ChainFleet SLOW_MANY = new ChainFleet("slow-many",
			new ModelProfile("llm", 80, 1750, 459_000, 0.85, 0.00297, 0.00398, 252_000, 2, 14, 6, 134,
					new ModelProfile.Transfer(22_900, 7_900), 800, 154,
					Map.of("fast-half", FAST_HALF, "slow", SLOW, "slow-small", SLOW_SMALL)),
			mixed(FAST_HALF, 2, SLOW, 5, SLOW_SMALL, 6), 200);

	static final List<ChainFleet> ALL = List.of(MIDDLING, SLOW_MANY);

	private static List<EngineKind> mixed(EngineKind first, int firstCount, EngineKind second, int secondCount,
			EngineKind third, int thirdCount) {
		List<EngineKind> mix = new ArrayList<>();
		mix.addAll(Collections.nCopies(firstCount, first));
		mix.addAll(Collections.nCopies(secondCount, second));
		mix.addAll(Collections.nCopies(thirdCount, third));
		return List.copyOf(mix);
	}

	/**
	 * Returns engines that hold no layers.
	 * @param domains the number of failure domains
	 * @param perDomain the number of engines in each
	 * @return the engines
	 */
	List<Engine> emptyEngines(int domains, int perDomain) {
		List<Engine> engines = new ArrayList<>();
		for (int domain = 0; domain < domains; domain++) {
			for (int index = 0; index < perDomain; index++) {
				engines.add(new Engine("d%d-%03d".formatted(domain, index),
						"10.%d.%d.%d:8080".formatted(domain, index / 250, index % 250), "d" + domain,
						this.mix.get(index % this.mix.size()), null, false));
			}
		}
		return engines;
	}

	/**
	 * Returns engines with the layers of the first plan.
	 * @param engines the empty engines
	 * @return the same engines, with layers
	 */
	List<Engine> placedEngines(List<Engine> engines) {
		return withPlacements(engines, LayerPlanner.plan(this.model, engines));
	}

	/**
	 * Returns engines with placements applied.
	 * @param engines the engines before
	 * @param placements the layers that some of them should hold
	 * @return the engines after
	 */
	static List<Engine> withPlacements(List<Engine> engines, List<Placement> placements) {
		Map<String, Placement> byEngine = new HashMap<>();
		placements.forEach((placement) -> byEngine.put(placement.engine().id(), placement));
		return engines.stream()
			.map((engine) -> byEngine.containsKey(engine.id()) ? withPlacement(engine, byEngine.get(engine.id()))
					: engine)
			.toList();
	}

	/**
	 * Returns an engine with a placement applied.
	 * @param engine the engine before
	 * @param placement the layers that it should hold
	 * @return the engine after
	 */
	static Engine withPlacement(Engine engine, Placement placement) {
		return new Engine(engine.id(), engine.address(), engine.failureDomain(), engine.kind(), placement.layers(),
				engine.leaving());
	}

}
