package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.whinjunction.configuration.LayerRange;

/**
 * Fixture of the chain tests: one large and fast kind of accelerator, one small and fast,
 * one of medium size and slow, and a model that does not fit on any single one.
 */
final class MixedCards {

	static final EngineKind A100 = new EngineKind("a100", 72_000, 2.4, 3.2);

	static final EngineKind V100 = new EngineKind("v100", 14_400, 5.3, 7.9);

	static final EngineKind L4 = new EngineKind("l4", 21_600, 16, 8.2);

	static final ModelProfile PROFILE = new ModelProfile("m", 80, 1750, 845_373, 1.02, 0.0066, 0.0088, 164_000, 4, 14,
			6, 134, new ModelProfile.Transfer(42_268, 13_000), 775, 216, Map.of("a100", A100, "v100", V100, "l4", L4));

	private MixedCards() {
	}

	static Engine empty(String id, String domain, EngineKind kind) {
		return new Engine(id, "10.0.0.1:" + id.hashCode(), domain, kind, null, false);
	}

	static Engine holding(String id, String domain, EngineKind kind, int first, int end) {
		return new Engine(id, "10.0.0.1:" + id.hashCode(), domain, kind, new LayerRange(first, end), false);
	}

	static Engine with(Engine engine, LayerRange held, boolean leaving) {
		return new Engine(engine.id(), engine.address(), engine.failureDomain(), engine.kind(), held, leaving);
	}

	/**
	 * Returns a failure domain with one a100, ten v100 and four l4, all of them empty.
	 */
	static List<Engine> emptyDomain(String domain) {
		List<Engine> engines = new ArrayList<>();
		engines.add(empty(domain + "-a", domain, A100));
		for (int index = 0; index < 10; index++) {
			engines.add(empty(domain + "-v" + index, domain, V100));
		}
		for (int index = 0; index < 4; index++) {
			engines.add(empty(domain + "-l" + index, domain, L4));
		}
		return engines;
	}

	/** Returns the engines after the placements have been carried out. */
	static List<Engine> apply(List<Engine> engines, List<Placement> placements) {
		List<Engine> after = new ArrayList<>();
		for (Engine engine : engines) {
			LayerRange held = placements.stream()
				.filter((placement) -> placement.engine().id().equals(engine.id()))
				.map(Placement::layers)
				.findFirst()
				.orElse(engine.held());
			after.add(with(engine, held, engine.leaving()));
		}
		return after;
	}

	static int[] coverage(List<Engine> engines) {
		int[] coverage = new int[PROFILE.layers()];
		for (Engine engine : engines) {
			for (int layer = (engine.held() != null) ? engine.held().first() : 0; engine.held() != null
					&& layer < engine.held().end(); layer++) {
				coverage[layer]++;
			}
		}
		return coverage;
	}

	static long minCapacity(List<Engine> engines) {
		return engines.stream()
			.filter((engine) -> engine.held() != null)
			.mapToLong((engine) -> PROFILE.kvCapacityTokens(engine.kind(), engine.heldLayers()))
			.min()
			.orElse(0);
	}

}
