package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import io.whinjunction.configuration.LayerRange;

/**
 * Plans which engines hold which layers, and which placements to order after a loss.
 * <p>
 * Load pattern: an engine that is lost or leaves causes a layer gap, and every request of
 * its failure domain needs a detour until the gap is closed. Empty engines close it
 * within their load time and at no cost to running requests. If no engine is empty, the
 * neighbours of the gap extend their ranges, since they keep serving while they load. If
 * that leaves a gap although memory suffices, layers move ({@link LayerMoves}).
 * <p>
 * Level-triggered: compares the target with what engines hold or were ordered to hold,
 * anew each time, so that a lost, duplicated or late order only costs one more round.
 * Invariants: no engine is assigned more layers than its memory holds; repairs never take
 * layers from an engine, moves never take those that no other engine holds; the same
 * state gives the same plan. Stateless.
 */
public final class LayerPlanner {

	/**
	 * Capacity that an engine keeps when it closes a gap, in tokens: routers receive its
	 * load late, and a gap that requests bypass through other failure domains costs less
	 * than a full engine.
	 */
	private static final long EXTENDED_RESERVE_TOKENS = 30_000;

	/**
	 * Ratio of the tightest holder's capacity that an empty engine keeps when it closes a
	 * gap: the engine with the least capacity limits the capacity of the path.
	 */
	private static final double CAPACITY_RATIO = 0.8;

	/**
	 * An engine whose used ratio exceeds this gets a copy of its layers elsewhere:
	 * loading a copy takes one to two seconds, within which a peak fills the rest.
	 */
	private static final double RELIEF_RATIO = 0.6;

	/** Number of empty engines that are kept for the next loss. */
	private static final int MIN_EMPTY = 1;

	private LayerPlanner() {
	}

	/**
	 * Plans the next orders.
	 * @param profile the model
	 * @param engines all engines; {@link Engine#held()} is what an engine was last
	 * ordered to hold if that order is still running
	 * @return the placements to order, the most urgent first; each engine at most once
	 */
	public static List<Placement> plan(ModelProfile profile, List<Engine> engines) {
		return plan(profile, engines, new ReplicaCountCache());
	}

	/**
	 * Plans the next orders, as {@link #plan(ModelProfile, List)}.
	 * @param profile the model
	 * @param engines all engines
	 * @param wanted the cached numbers of replicas, kept from one plan to the next
	 * @return the placements to order, the most urgent first
	 */
	public static List<Placement> plan(ModelProfile profile, List<Engine> engines, ReplicaCountCache wanted) {
		Map<String, List<Engine>> byDomain = engines.stream()
			.filter((engine) -> !engine.leaving() && profile.contains(engine.held()))
			.collect(Collectors.groupingBy(Engine::failureDomain, TreeMap::new, Collectors.toList()));
		List<Placement> placements = new ArrayList<>();
		for (List<Engine> ofDomain : byDomain.values()) {
			boolean allEmpty = ofDomain.stream().allMatch((engine) -> engine.held() == null);
			if (allEmpty) {
				placements.addAll(DomainPlan.of(profile, ofDomain).placements());
			}
			else {
				new Repair(profile, ofDomain, Math.max(1, wanted.of(profile, ofDomain))).addTo(placements);
			}
		}
		return placements;
	}

	/**
	 * Plans the next orders, as {@link #plan(ModelProfile, List, ReplicaCountCache)}, and
	 * moves where these orders would leave a failure domain with a gap although its
	 * memory suffices, or the fleet with a single holder of a layer.
	 * @param profile the model
	 * @param fleet all engines; those that hold layers that the model does not have are
	 * left out
	 * @param cache what is kept from one plan to the next
	 * @param movable whether layers may be moved in a failure domain
	 * @return the orders
	 */
	public static FleetPlan planFleet(ModelProfile profile, List<ReportedEngine> fleet, Cache cache,
			Predicate<String> movable) {
		if (profile.layers() <= 0) {
			return new FleetPlan(List.of(), List.of(), Set.of());
		}
		List<ReportedEngine> usable = fleet.stream()
			.filter((state) -> !state.engine().leaving() && profile.contains(state.engine().held())
					&& profile.contains(state.reported()))
			.toList();
		Map<String, List<Engine>> byDomain = usable.stream()
			.map(ReportedEngine::engine)
			.collect(Collectors.groupingBy(Engine::failureDomain, TreeMap::new, Collectors.toList()));
		Map<String, DomainDivision> divisions = new TreeMap<>();
		byDomain.forEach((domain, ofDomain) -> {
			if (!covers(profile, ofDomain) && movable.test(domain) && leavesGap(profile, ofDomain)) {
				cache.divisions()
					.of(profile, domain, ofDomain)
					.filter((division) -> LayerMoves.worthwhile(profile, division))
					.ifPresent((division) -> divisions.put(domain, division));
			}
		});
		List<Placement> repairs = plan(profile,
				usable.stream()
					.map(ReportedEngine::engine)
					.filter((engine) -> !divisions.containsKey(engine.failureDomain()))
					.toList(),
				cache.replicas());
		List<LayerMove> moves = List.of();
		if (!divisions.isEmpty()) {
			moves = new LayerMoves(profile, usable).towards(divisions, repairs.size());
		}
		else if (repairs.isEmpty() && anySingleHolder(profile, usable)) {
			moves = new LayerMoves(profile, usable).secondHolder().map(List::of).orElse(List.of());
		}
		return new FleetPlan(repairs, moves, divisions.keySet());
	}

	private static boolean anySingleHolder(ModelProfile profile, List<ReportedEngine> fleet) {
		int[] changes = new int[profile.layers() + 1];
		for (ReportedEngine state : fleet) {
			LayerRange held = state.engine().held();
			if (held != null) {
				changes[held.first()]++;
				changes[held.end()]--;
			}
		}
		int holders = 0;
		for (int layer = 0; layer < profile.layers(); layer++) {
			holders += changes[layer];
			if (holders == 1) {
				return true;
			}
		}
		return false;
	}

	private static boolean covers(ModelProfile profile, List<Engine> ofDomain) {
		BitSet held = new BitSet(profile.layers());
		for (Engine engine : ofDomain) {
			if (engine.held() != null) {
				held.set(engine.held().first(), engine.held().end());
			}
		}
		return held.cardinality() == profile.layers();
	}

	// Returns whether a layer has no holder even after all repairs that take no layer
	// away.
	private static boolean leavesGap(ModelProfile profile, List<Engine> ofDomain) {
		List<Engine> state = ofDomain;
		if (state.stream().allMatch((engine) -> engine.held() == null)) {
			return false;
		}
		for (int round = 0; round <= profile.layers(); round++) {
			Repair repair = new Repair(profile, state, 1);
			if (repair.firstGap(1, 0) == null) {
				return false;
			}
			Map<String, LayerRange> placed = new HashMap<>();
			List<Placement> placements = new ArrayList<>();
			repair.addTo(placements);
			placements.forEach((placement) -> placed.put(placement.engine().id(), placement.layers()));
			if (placed.isEmpty()) {
				return true;
			}
			state = state.stream()
				.map((engine) -> new Engine(engine.id(), engine.address(), engine.failureDomain(), engine.kind(),
						placed.getOrDefault(engine.id(), engine.held()), false))
				.toList();
		}
		return true;
	}

	/**
	 * Plans copies of layers whose only holder is congested.
	 * @param profile the model
	 * @param engines all engines, as for {@link #plan}
	 * @param usedRatio the ratio of an engine's capacity that is taken
	 * @return at most one placement per failure domain
	 */
	public static List<Placement> relieve(ModelProfile profile, List<Engine> engines,
			ToDoubleFunction<Engine> usedRatio) {
		Map<String, List<Engine>> byDomain = engines.stream()
			.filter((engine) -> !engine.leaving() && profile.contains(engine.held()))
			.collect(Collectors.groupingBy(Engine::failureDomain, TreeMap::new, Collectors.toList()));
		List<Placement> placements = new ArrayList<>();
		byDomain.values()
			.forEach((ofDomain) -> new Repair(profile, ofDomain, 1).relief(usedRatio).ifPresent(placements::add));
		return placements;
	}

	/**
	 * What is kept from one plan to the next. Not thread-safe.
	 *
	 * @param replicas the numbers of replicas
	 * @param divisions the divisions of failure domains
	 */
	public record Cache(ReplicaCountCache replicas, DivisionCache divisions) {

		/** Creates an empty cache. */
		public Cache() {
			this(new ReplicaCountCache(), new DivisionCache());
		}

	}

	/** Repair of one failure domain; confined to its caller. */
	private static final class Repair {

		private final ModelProfile profile;

		private final int replicas;

		private final List<Engine> empty;

		private final List<Engine> holders;

		private final int[] coverage;

		private final long targetCapacity;

		Repair(ModelProfile profile, List<Engine> engines, int replicas) {
			this.profile = profile;
			this.replicas = replicas;
			this.empty = engines.stream()
				.filter((engine) -> engine.held() == null)
				.sorted(Comparator.comparingDouble((Engine engine) -> engine.kind().stepFactor())
					.thenComparing(Engine::id))
				.collect(Collectors.toCollection(ArrayList::new));
			this.holders = engines.stream()
				.filter((engine) -> engine.held() != null)
				.sorted(Comparator.comparing(Engine::id))
				.collect(Collectors.toCollection(ArrayList::new));
			this.targetCapacity = (long) (CAPACITY_RATIO * this.holders.stream()
				.mapToLong((engine) -> profile.kvCapacityTokens(engine.kind(), engine.heldLayers()))
				.min()
				.orElse(0));
			this.coverage = new int[profile.layers()];
			this.holders.forEach((engine) -> cover(engine.held()));
		}

		void addTo(List<Placement> placements) {
			for (int wanted = 1; wanted <= this.replicas; wanted++) {
				LayerRange gap = firstGap(wanted, 0);
				while (gap != null) {
					Placement placement = fill(gap);
					if (placement != null) {
						placements.add(placement);
						cover(gap, placement.layers());
					}
					int next = (placement != null) ? gap.first() : gap.end();
					gap = firstGap(wanted, next);
				}
			}
		}

		Optional<Placement> relief(ToDoubleFunction<Engine> usedRatio) {
			Engine congested = this.holders.stream()
				.filter((engine) -> usedRatio.applyAsDouble(engine) > RELIEF_RATIO && soleRange(engine.held()) != null)
				.max(Comparator.comparingDouble(usedRatio))
				.orElse(null);
			if (congested == null || this.empty.size() <= MIN_EMPTY || !affordable(congested)) {
				return Optional.empty();
			}
			Engine helper = this.empty.getLast();
			LayerRange soleRange = soleRange(congested.held());
			long capacity = this.profile.kvCapacityTokens(congested.kind(), congested.heldLayers());
			int count = Math.min(soleRange.end() - soleRange.first(), this.profile.maxLayers(helper.kind(), capacity));
			return (count > 0)
					? Optional.of(new Placement(helper, new LayerRange(soleRange.first(), soleRange.first() + count)))
					: Optional.empty();
		}

		// A copy of the largest holder's layers also reduces the effect of its loss.
		// For any other holder, enough engines have to stay empty to replace the
		// largest holder.
		private boolean affordable(Engine congested) {
			int largest = this.holders.stream().mapToInt(Engine::heldLayers).max().orElse(0);
			int left = this.empty.subList(0, this.empty.size() - 1).stream().mapToInt(this::maxLayers).sum();
			return congested.heldLayers() == largest || left >= largest;
		}

		// Returns the first contiguous range of layers that no other engine holds.
		private LayerRange soleRange(LayerRange held) {
			int first = held.first();
			while (first < held.end() && this.coverage[first] > 1) {
				first++;
			}
			int end = first;
			while (end < held.end() && this.coverage[end] == 1) {
				end++;
			}
			return (end > first) ? new LayerRange(first, end) : null;
		}

		private void cover(LayerRange range) {
			for (int layer = range.first(); layer < range.end(); layer++) {
				this.coverage[layer]++;
			}
		}

		private void cover(LayerRange gap, LayerRange placed) {
			int first = Math.max(gap.first(), placed.first());
			int end = Math.min(gap.end(), placed.end());
			cover(new LayerRange(first, end));
		}

		private LayerRange firstGap(int wanted, int from) {
			int first = from;
			while (first < this.coverage.length && this.coverage[first] >= wanted) {
				first++;
			}
			int end = first;
			while (end < this.coverage.length && this.coverage[end] < wanted) {
				end++;
			}
			return (end > first) ? new LayerRange(first, end) : null;
		}

		private Placement fill(LayerRange gap) {
			Placement withEmpty = fillWithEmpty(gap);
			return (withEmpty != null) ? withEmpty : fillWithNeighbour(gap);
		}

		private Placement fillWithEmpty(LayerRange gap) {
			int length = gap.end() - gap.first();
			Engine chosen = this.empty.stream().filter((engine) -> maxLayers(engine) > 0).findFirst().orElse(null);
			if (chosen == null) {
				return null;
			}
			this.empty.remove(chosen);
			int count = Math.min(length, Math.max(1, layersWithinTarget(chosen, length)));
			return new Placement(chosen, new LayerRange(gap.first(), gap.first() + count));
		}

		// Limits the layers so that an empty engine keeps the capacity of the other
		// holders or, if all empty engines together cannot provide that, a share by
		// memory.
		private int layersWithinTarget(Engine chosen, int length) {
			List<Engine> candidates = new ArrayList<>(this.empty);
			candidates.add(chosen);
			long capacity = this.targetCapacity;
			while (capacity > EXTENDED_RESERVE_TOKENS) {
				long reserve = capacity;
				int together = candidates.stream()
					.mapToInt((engine) -> this.profile.maxLayers(engine.kind(), reserve))
					.sum();
				if (together >= length) {
					return this.profile.maxLayers(chosen.kind(), reserve);
				}
				capacity = capacity * 9 / 10;
			}
			return maxLayers(chosen);
		}

		private Placement fillWithNeighbour(LayerRange gap) {
			Engine left = neighbourWithMostSpare(gap.first(), -1);
			Engine right = neighbourWithMostSpare(-1, gap.end());
			int leftSpare = spare(left);
			int rightSpare = spare(right);
			int length = gap.end() - gap.first();
			if (leftSpare + rightSpare == 0) {
				return null;
			}
			// The gap is divided in proportion to spare capacity, so that both
			// neighbours keep some.
			int leftLayers = Math.min(leftSpare, Math.ceilDiv(length * leftSpare, leftSpare + rightSpare));
			if (leftLayers > 0) {
				return extend(left, new LayerRange(left.held().first(), gap.first() + Math.min(leftLayers, length)));
			}
			int rightLayers = Math.min(rightSpare, length);
			return extend(right, new LayerRange(gap.end() - rightLayers, right.held().end()));
		}

		private Placement extend(Engine engine, LayerRange layers) {
			// At most one order per engine and round: its state after the order is
			// known only later.
			this.holders.remove(engine);
			return new Placement(engine, layers);
		}

		private Engine neighbourWithMostSpare(int heldEnd, int heldFirst) {
			return this.holders.stream()
				.filter((engine) -> engine.held().end() == heldEnd || engine.held().first() == heldFirst)
				.max(Comparator.comparingInt(this::spare).thenComparing(Engine::id))
				.orElse(null);
		}

		private int spare(Engine engine) {
			return (engine != null) ? Math.max(0, maxLayers(engine) - engine.heldLayers()) : 0;
		}

		private int maxLayers(Engine engine) {
			return this.profile.maxLayers(engine.kind(), EXTENDED_RESERVE_TOKENS);
		}

	}

}
