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
 * Policy that is compared on emulated chains: it places layers, chooses paths, and may
 * repair losses. Stateless except for the replica counts of earlier plans.
 */
sealed interface ChainPolicy {

	/**
	 * Plans the first placement on empty engines.
	 * @param engines the engines
	 * @return the layers that each engine should hold
	 */
	List<Placement> place(List<Engine> engines);

	/**
	 * Plans the repair after a loss.
	 * @param engines the engines that are alive
	 * @return the placements to order; empty if this policy does not repair
	 */
	List<Placement> repair(List<Engine> engines);

	/**
	 * Chooses a path.
	 * @param engines the engines that are alive and hold layers
	 * @param loads the last known loads, by engine id
	 * @param domain the failure domain of the caller
	 * @param tokens the number of tokens of the request
	 * @return the path, or empty if the request is rejected
	 */
	Optional<List<Hop>> path(List<Engine> engines, Map<String, PathCosts.Load> loads, String domain, int tokens);

	/** Makes the decisions of the product. */
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
				.filter((engine) -> loads.get(engine.id()).usedRatio() < 1)
				.map((engine) -> PathCosts.rate(this.model, engine, loads.get(engine.id()), tokens))
				.toList();
			return PathFinder.find(this.model, candidates, PathFinder.Start.full(domain, (engine) -> true));
		}

	}

	/** Makes the decisions of the product but ignores load: the shortest step wins. */
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
			return PathFinder.find(this.model, candidates, PathFinder.Start.full(domain, (engine) -> true));
		}

	}

	/**
	 * Makes the decisions of the prototype: one replica over all engines of a failure
	 * domain, up to the maximum number of hops, with layers in proportion to memory.
	 * Paths stay in the failure domain of the caller, and losses are not repaired.
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
			byDomain.values().forEach((domainEngines) -> placements.addAll(splitByMemory(domainEngines)));
			return placements;
		}

		private List<Placement> splitByMemory(List<Engine> engines) {
			List<Engine> members = engines.stream()
				.sorted(Comparator.comparingDouble((Engine engine) -> -engine.kind().memoryMb())
					.thenComparing(Engine::id))
				.limit(PathFinder.MAX_HOPS)
				.toList();
			double memoryMb = members.stream().mapToDouble((engine) -> engine.kind().memoryMb()).sum();
			List<Placement> placements = new ArrayList<>();
			double cumulativeMb = 0;
			int first = 0;
			for (Engine engine : members) {
				cumulativeMb += engine.kind().memoryMb();
				int end = (int) Math.round(this.model.layers() * cumulativeMb / memoryMb);
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
			Map<Integer, Engine> byFirstLayer = new HashMap<>();
			engines.stream()
				.filter((engine) -> engine.failureDomain().equals(domain))
				.forEach((engine) -> byFirstLayer.put(engine.held().first(), engine));
			List<Hop> path = new ArrayList<>();
			int layer = 0;
			while (layer < this.model.layers()) {
				Engine engine = byFirstLayer.get(layer);
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
