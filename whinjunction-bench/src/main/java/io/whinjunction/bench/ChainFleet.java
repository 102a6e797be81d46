package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.EngineKind;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.Placement;

/**
 * Fleets of mixed accelerators for the benchmarks of chains: of fifteen engines one is
 * large and fast, ten are small and middling, four are middling and slow, which is how
 * the users' cards are mixed. Stateless.
 */
final class ChainFleet {

	private static final EngineKind LARGE = new EngineKind("large", 72_000, 2.4, 3.2);

	private static final EngineKind SMALL = new EngineKind("small", 14_400, 5.3, 7.9);

	private static final EngineKind SLOW = new EngineKind("slow", 21_600, 16, 8.2);

	/**
	 * A model of 80 layers that no engine holds alone; the figures are those that the
	 * users publish for theirs.
	 */
	static final ModelProfile MODEL = new ModelProfile("llm", 80, 1750, 845_373, 1.02, 0.0066, 0.0088, 164_000, 4, 14,
			6, 134, new ModelProfile.Transfer(42_268, 13_000), 775, 216,
			Map.of("large", LARGE, "small", SMALL, "slow", SLOW));

	private static final int MIX = 15;

	private static final int SMALL_OF_MIX = 10;

	private ChainFleet() {
	}

	/**
	 * Empty engines.
	 * @param domains how many failure domains
	 * @param perDomain how many engines each of them has
	 * @return the engines
	 */
	static List<Engine> empty(int domains, int perDomain) {
		List<Engine> engines = new ArrayList<>();
		for (int domain = 0; domain < domains; domain++) {
			for (int index = 0; index < perDomain; index++) {
				engines.add(new Engine("d%d-%03d".formatted(domain, index),
						"10.%d.%d.%d:8080".formatted(domain, index / 250, index % 250), "d" + domain, kind(index), null,
						false));
			}
		}
		return engines;
	}

	private static EngineKind kind(int index) {
		int place = index % MIX;
		if (place == 0) {
			return LARGE;
		}
		return (place <= SMALL_OF_MIX) ? SMALL : SLOW;
	}

	/**
	 * Engines after the first plan was carried out.
	 * @param engines empty engines
	 * @return the same engines, with layers
	 */
	static List<Engine> placed(List<Engine> engines) {
		return carriedOut(engines, LayerPlanner.plan(MODEL, engines));
	}

	/**
	 * Carries placements out.
	 * @param engines the engines before
	 * @param placements what they should hold
	 * @return the engines after
	 */
	static List<Engine> carriedOut(List<Engine> engines, List<Placement> placements) {
		Map<String, Placement> byEngine = new HashMap<>();
		placements.forEach((placement) -> byEngine.put(placement.engine().id(), placement));
		return engines.stream()
			.map((engine) -> byEngine.containsKey(engine.id()) ? holding(engine, byEngine.get(engine.id())) : engine)
			.toList();
	}

	/**
	 * Carries one placement out.
	 * @param engine the engine before
	 * @param placement what it should hold
	 * @return the engine after
	 */
	static Engine holding(Engine engine, Placement placement) {
		return new Engine(engine.id(), engine.address(), engine.failureDomain(), engine.kind(), placement.layers(),
				engine.leaving());
	}

}
