package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which engines requests pass through as load changes.
 */
class PathCostsTests {

	// Guards against streams that stall for a quarter of a second: fifty drafts of a
	// lost path restart at the same moment and all choose the fastest failure domain,
	// whose largest engine processes one prompt in 4.7 ms. They have to be
	// distributed over the other domains as well.
	@Test
	void promptsThatArriveAtOnceAreDistributedOverFailureDomains() {
		List<Engine> engines = new ArrayList<>();
		for (String domain : List.of("a", "b", "c")) {
			List<Engine> empty = MixedCards.emptyDomain(domain);
			engines.addAll(MixedCards.apply(empty, LayerPlanner.plan(MixedCards.PROFILE, empty)));
		}
		engines.removeIf((engine) -> engine.held() == null);

		Map<String, Integer> byDomain = sendAtOnce(engines, 50);

		assertThat(byDomain).hasSize(3);
		assertThat(byDomain.values()).allSatisfy((count) -> assertThat(count).isLessThan(30));
	}

	@Test
	void aSlowEngineCostsMoreThanItsOwnLayers() {
		Engine engine = MixedCards.holding("e", "a", MixedCards.V100, 0, 5);

		PathFinder.Candidate usual = PathCosts.rate(MixedCards.PROFILE, engine, load(1), 991);
		PathFinder.Candidate slow = PathCosts.rate(MixedCards.PROFILE, engine, load(4), 991);

		assertThat(slow.layerMs()).isGreaterThan(3 * usual.layerMs());
		assertThat(slow.penaltyMs()).isGreaterThan(usual.penaltyMs());
	}

	private static Map<String, Integer> sendAtOnce(List<Engine> engines, int requests) {
		Map<String, Double> pending = new HashMap<>();
		Map<String, Integer> byDomain = new HashMap<>();
		for (int request = 0; request < requests; request++) {
			List<PathFinder.Candidate> candidates = engines.stream()
				.map((engine) -> PathCosts.rate(MixedCards.PROFILE, engine,
						new PathCosts.Load(0.2, pending.getOrDefault(engine.id(), 0.0), 1, false), 991))
				.toList();
			List<Hop> path = PathFinder
				.find(MixedCards.PROFILE, candidates, PathFinder.Start.whole("a", (engine) -> true))
				.orElseThrow();
			path.forEach((hop) -> pending.merge(hop.engine().id(), 775.0, Double::sum));
			byDomain.merge(path.getFirst().engine().failureDomain(), 1, Integer::sum);
		}
		return byDomain;
	}

	private static PathCosts.Load load(double slowdown) {
		return new PathCosts.Load(0.2, 0, slowdown, false);
	}

}
