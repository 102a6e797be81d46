package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import io.whinjunction.configuration.LayerRange;

/**
 * Plans which engines hold which layers, and what to order after a loss.
 * <p>
 * The load it answers: an engine that is lost or leaves makes a hole, and every request
 * of its failure domain needs a detour until the hole is filled. Empty engines fill it in
 * their load time and cost nobody anything; where none is left, the neighbours of the
 * hole extend their ranges, since they serve on while they load.
 * <p>
 * Level-triggered: it compares what is wanted with what engines hold or were ordered to
 * hold, each time anew, so that a lost, doubled or late order only costs one more round.
 * Invariants: no engine is given more layers than its memory holds; layers that an engine
 * holds are never taken from it; the same state gives the same plan. Stateless.
 */
public final class LayerPlanner {

	/**
	 * Room that an engine keeps which fills a hole, in tokens: routers know its load
	 * late, and a hole that other failure domains go round costs less than a full engine.
	 */
	private static final long EXTENDED_RESERVE_TOKENS = 30_000;

	/**
	 * The part of the tightest holder's room that an empty engine keeps when it fills a
	 * hole: the narrowest part of a path bounds all of it.
	 */
	private static final double USUAL_ROOM_PART = 0.8;

	/**
	 * An engine that is taken up by more than this is helped: loading a copy takes one to
	 * two seconds, in which a peak fills the rest.
	 */
	private static final double RELIEVED_PART = 0.6;

	/** Empty engines that stay so for the next loss. */
	private static final int KEPT_EMPTY = 1;

	private LayerPlanner() {
	}

	/**
	 * Plans the next orders.
	 * @param profile the model
	 * @param engines all engines; {@link Engine#held()} is what an engine was last
	 * ordered to hold where that order still runs
	 * @return the placements to order, the most urgent first; each engine at most once
	 */
	public static List<Placement> plan(ModelProfile profile, List<Engine> engines) {
		return plan(profile, engines, new ReplicaCounts());
	}

	/**
	 * Plans the next orders, as {@link #plan(ModelProfile, List)}.
	 * @param profile the model
	 * @param engines all engines
	 * @param wanted remembers from one plan to the next how often layers should be held
	 * @return the placements to order, the most urgent first
	 */
	public static List<Placement> plan(ModelProfile profile, List<Engine> engines, ReplicaCounts wanted) {
		Map<String, List<Engine>> byDomain = engines.stream()
			.filter((engine) -> !engine.leaving())
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
	 * Plans copies of layers whose only holder is crowded.
	 * @param profile the model
	 * @param engines all engines, as for {@link #plan}
	 * @param usedPart the part of an engine's room that is taken
	 * @return at most one placement for a failure domain
	 */
	public static List<Placement> relieve(ModelProfile profile, List<Engine> engines,
			ToDoubleFunction<Engine> usedPart) {
		Map<String, List<Engine>> byDomain = engines.stream()
			.filter((engine) -> !engine.leaving())
			.collect(Collectors.groupingBy(Engine::failureDomain, TreeMap::new, Collectors.toList()));
		List<Placement> placements = new ArrayList<>();
		byDomain.values()
			.forEach((ofDomain) -> new Repair(profile, ofDomain, 1).relief(usedPart).ifPresent(placements::add));
		return placements;
	}

	/** The repair of one failure domain; confined to its caller. */
	private static final class Repair {

		private final ModelProfile profile;

		private final int replicas;

		private final List<Engine> empty;

		private final List<Engine> holders;

		private final int[] coverage;

		private final long usualRoom;

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
			this.usualRoom = (long) (USUAL_ROOM_PART * this.holders.stream()
				.mapToLong((engine) -> profile.kvCapacityTokens(engine.kind(), engine.heldLayers()))
				.min()
				.orElse(0));
			this.coverage = new int[profile.layers()];
			this.holders.forEach((engine) -> cover(engine.held()));
		}

		void addTo(List<Placement> placements) {
			for (int wanted = 1; wanted <= this.replicas; wanted++) {
				LayerRange hole = firstHole(wanted, 0);
				while (hole != null) {
					Placement placement = fill(hole);
					if (placement != null) {
						placements.add(placement);
						cover(hole, placement.layers());
					}
					int next = (placement != null) ? hole.first() : hole.end();
					hole = firstHole(wanted, next);
				}
			}
		}

		Optional<Placement> relief(ToDoubleFunction<Engine> usedPart) {
			Engine crowded = this.holders.stream()
				.filter((engine) -> usedPart.applyAsDouble(engine) > RELIEVED_PART && alone(engine.held()) != null)
				.max(Comparator.comparingDouble(usedPart))
				.orElse(null);
			if (crowded == null || this.empty.size() <= KEPT_EMPTY || !affordable(crowded)) {
				return Optional.empty();
			}
			Engine helper = this.empty.getLast();
			LayerRange alone = alone(crowded.held());
			long room = this.profile.kvCapacityTokens(crowded.kind(), crowded.heldLayers());
			int taken = Math.min(alone.end() - alone.first(), this.profile.mostLayers(helper.kind(), room));
			return (taken > 0)
					? Optional.of(new Placement(helper, new LayerRange(alone.first(), alone.first() + taken)))
					: Optional.empty();
		}

		// A copy of the largest holder's layers also makes its loss smaller. For any
		// other one, enough has to stay empty to take the largest holder's place.
		private boolean affordable(Engine crowded) {
			int largest = this.holders.stream().mapToInt(Engine::heldLayers).max().orElse(0);
			int left = this.empty.subList(0, this.empty.size() - 1).stream().mapToInt(this::most).sum();
			return crowded.heldLayers() == largest || left >= largest;
		}

		// The first stretch of layers that nobody else holds.
		private LayerRange alone(LayerRange held) {
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

		private void cover(LayerRange hole, LayerRange placed) {
			int first = Math.max(hole.first(), placed.first());
			int end = Math.min(hole.end(), placed.end());
			cover(new LayerRange(first, end));
		}

		private LayerRange firstHole(int wanted, int from) {
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

		private Placement fill(LayerRange hole) {
			Placement byEmpty = fillByEmpty(hole);
			return (byEmpty != null) ? byEmpty : fillByNeighbour(hole);
		}

		private Placement fillByEmpty(LayerRange hole) {
			int length = hole.end() - hole.first();
			Engine chosen = this.empty.stream().filter((engine) -> most(engine) > 0).findFirst().orElse(null);
			if (chosen == null) {
				return null;
			}
			this.empty.remove(chosen);
			int taken = Math.min(length, Math.max(1, comfortable(chosen, length)));
			return new Placement(chosen, new LayerRange(hole.first(), hole.first() + taken));
		}

		// No more layers than leave an empty engine the room that the others have, or its
		// part by memory where all empty ones together can't have that much.
		private int comfortable(Engine chosen, int length) {
			List<Engine> candidates = new ArrayList<>(this.empty);
			candidates.add(chosen);
			long room = this.usualRoom;
			while (room > EXTENDED_RESERVE_TOKENS) {
				long reserve = room;
				int together = candidates.stream()
					.mapToInt((engine) -> this.profile.mostLayers(engine.kind(), reserve))
					.sum();
				if (together >= length) {
					return this.profile.mostLayers(chosen.kind(), reserve);
				}
				room = room * 9 / 10;
			}
			return most(chosen);
		}

		private Placement fillByNeighbour(LayerRange hole) {
			Engine left = roomiest(hole.first(), -1);
			Engine right = roomiest(-1, hole.end());
			int leftSpare = spare(left);
			int rightSpare = spare(right);
			int length = hole.end() - hole.first();
			if (leftSpare + rightSpare == 0) {
				return null;
			}
			// The hole is divided as the room is, so that both keep some.
			int byLeft = Math.min(leftSpare, Math.ceilDiv(length * leftSpare, leftSpare + rightSpare));
			if (byLeft > 0) {
				return extend(left, new LayerRange(left.held().first(), hole.first() + Math.min(byLeft, length)));
			}
			int byRight = Math.min(rightSpare, length);
			return extend(right, new LayerRange(hole.end() - byRight, right.held().end()));
		}

		private Placement extend(Engine engine, LayerRange layers) {
			// One order an engine and round: its state after it is known only later.
			this.holders.remove(engine);
			return new Placement(engine, layers);
		}

		private Engine roomiest(int heldEnd, int heldFirst) {
			return this.holders.stream()
				.filter((engine) -> engine.held().end() == heldEnd || engine.held().first() == heldFirst)
				.max(Comparator.comparingInt(this::spare).thenComparing(Engine::id))
				.orElse(null);
		}

		private int spare(Engine engine) {
			return (engine != null) ? Math.max(0, most(engine) - engine.heldLayers()) : 0;
		}

		private int most(Engine engine) {
			return this.profile.mostLayers(engine.kind(), EXTENDED_RESERVE_TOKENS);
		}

	}

}
