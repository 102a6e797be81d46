package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.Hop;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.PathCosts;
import io.whinjunction.chain.PathFinder;
import io.whinjunction.chain.Placement;
import io.whinjunction.chain.ReplicaCountCache;
import io.whinjunction.configuration.LayerRange;

/**
 * What is compared on emulated chains: who places layers, who chooses paths, and whether
 * losses are repaired. Stateless but for what it remembers of plans.
 */
sealed interface ChainPolicy {

	/**
	 * The first placement on empty engines.
	 * @param engines the engines
	 * @return what each should hold
	 */
	List<Placement> place(List<Engine> engines);

	/**
	 * What to order after a loss.
	 * @param engines the engines that live
	 * @return the orders; none where it doesn't repair
	 */
	List<Placement> repair(List<Engine> engines);

	/**
	 * Chooses a path.
	 * @param engines engines that live and hold layers
	 * @param loads what is known of their load, by name
	 * @param domain the caller's failure domain
	 * @param tokens tokens that the request takes up
	 * @return the path, or empty where the request is refused
	 */
	Optional<List<Hop>> path(List<Engine> engines, Map<String, PathCosts.Load> loads, String domain, int tokens);

	/** The product's decisions. */
	final class Product implements ChainPolicy {

		private final ModelProfile model;

		private final ReplicaCountCache counts = new ReplicaCountCache();

		Product(ModelProfile model) {
			this.model = model;
		}

		@Override
		public List<Placement> place(List<Engine> engines) {
			return LayerPlanner.plan(this.model, engines);
		}

		@Override
		public List<Placement> repair(List<Engine> engines) {
			return LayerPlanner.plan(this.model, engines, this.counts);
		}

		@Override
		public Optional<List<Hop>> path(List<Engine> engines, Map<String, PathCosts.Load> loads, String domain,
				int tokens) {
			List<PathFinder.Candidate> candidates = engines.stream()
				.filter((engine) -> loads.get(engine.id()).usedPart() < 1)
				.map((engine) -> PathCosts.rate(this.model, engine, loads.get(engine.id()), tokens))
				.toList();
			return PathFinder.find(this.model, candidates, PathFinder.Start.whole(domain, (engine) -> true));
		}

	}

	/** The product without regard for load: the shortest step wins. */
	final class ShortestStep implements ChainPolicy {

		private final ModelProfile model;

		private final Product product;

		ShortestStep(ModelProfile model) {
			this.model = model;
			this.product = new Product(model);
		}

		@Override
		public List<Placement> place(List<Engine> engines) {
			return this.product.place(engines);
		}

		@Override
		public List<Placement> repair(List<Engine> engines) {
			return this.product.repair(engines);
		}

		@Override
		public Optional<List<Hop>> path(List<Engine> engines, Map<String, PathCosts.Load> loads, String domain,
				int tokens) {
			List<PathFinder.Candidate> candidates = engines.stream()
				.map((engine) -> new PathFinder.Candidate(engine, this.model.layerStepMs(engine.kind(), 0), 0))
				.toList();
			return PathFinder.find(this.model, candidates, PathFinder.Start.whole(domain, (engine) -> true));
		}

	}

	/**
	 * The prototype's plan: one replica over all engines of a failure domain, shared out
	 * by memory; paths stay at home and nothing is repaired.
	 */
	final class OneReplica implements ChainPolicy {

		private final ModelProfile model;

		OneReplica(ModelProfile model) {
			this.model = model;
		}

		@Override
		public List<Placement> place(List<Engine> engines) {
			Map<String, List<Engine>> byDomain = new TreeMap<>();
			engines.forEach((engine) -> byDomain.computeIfAbsent(engine.failureDomain(), (ignored) -> new ArrayList<>())
				.add(engine));
			List<Placement> placements = new ArrayList<>();
			byDomain.values().forEach((ofDomain) -> placements.addAll(byMemory(ofDomain)));
			return placements;
		}

		private List<Placement> byMemory(List<Engine> engines) {
			List<Engine> members = engines.stream()
				.sorted(Comparator.comparingDouble((Engine engine) -> -engine.kind().memoryMb())
					.thenComparing(Engine::id))
				.limit(PathFinder.MOST_HOPS)
				.toList();
			double memoryMb = members.stream().mapToDouble((engine) -> engine.kind().memoryMb()).sum();
			List<Placement> placements = new ArrayList<>();
			double passedMb = 0;
			int first = 0;
			for (Engine engine : members) {
				passedMb += engine.kind().memoryMb();
				int end = (int) Math.round(this.model.layers() * passedMb / memoryMb);
				if (end > first) {
					placements.add(new Placement(engine, new LayerRange(first, end)));
				}
				first = end;
			}
			return placements;
		}

		@Override
		public List<Placement> repair(List<Engine> engines) {
			return List.of();
		}

		@Override
		public Optional<List<Hop>> path(List<Engine> engines, Map<String, PathCosts.Load> loads, String domain,
				int tokens) {
			Map<Integer, Engine> byFirst = new HashMap<>();
			engines.stream()
				.filter((engine) -> engine.failureDomain().equals(domain))
				.forEach((engine) -> byFirst.put(engine.held().first(), engine));
			List<Hop> path = new ArrayList<>();
			int layer = 0;
			while (layer < this.model.layers()) {
				Engine engine = byFirst.get(layer);
				if (engine == null) {
					return Optional.empty();
				}
				path.add(new Hop(engine, engine.held()));
				layer = engine.held().end();
			}
			return Optional.of(path);
		}

	}

}
