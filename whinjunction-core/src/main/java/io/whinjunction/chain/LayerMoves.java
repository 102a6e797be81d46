package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.whinjunction.configuration.LayerRange;

/**
 * Plans the next steps from what engines hold to the {@link DomainDivision} of their
 * failure domains, and second holders for layers at risk.
 * <p>
 * Load pattern: a failure domain has a gap that neither an empty engine nor a neighbour
 * with room closes, so that all its requests lean on other failure domains until the end.
 * <p>
 * Level-triggered: each plan starts from what engines report and from the orders still
 * running, so that a lost, late or duplicate order or a restarted engine costs one more
 * round. Invariants: an engine holds no more layers than its memory, those counted that
 * it gives up; the last engine that surely holds a layer never gives it up; no engine
 * gets an order while another one is running; no more loads run at once than
 * {@link ModelProfile#loadsAtOnce()}; the same state gives the same plan. Confined to its
 * caller.
 */
final class LayerMoves {

	/**
	 * Longest time for all loads of a division, in seconds: engines that left have been
	 * replaced by then, which costs no other engine its layers.
	 */
	private static final double MAX_LOAD_S = 15;

	/** Capacity that an engine keeps beside layers it adds for safety, in tokens. */
	private static final long RESERVE_TOKENS = 30_000;

	/** Number of empty engines that a failure domain keeps for its next loss. */
	private static final int MIN_EMPTY = 1;

	private final ModelProfile profile;

	private final List<ReportedEngine> fleet;

	private final FleetLayers layers;

	/** The sure holders of each layer, without those that this plan takes it from. */
	private final int[] holders;

	private int loadsLeft;

	LayerMoves(ModelProfile profile, List<ReportedEngine> fleet) {
		this.profile = profile;
		this.fleet = fleet;
		this.layers = FleetLayers.of(profile, fleet);
		this.holders = this.layers.holders();
		this.loadsLeft = profile.loadsAtOnce() - (int) fleet.stream().filter(ReportedEngine::loading).count();
	}

	/**
	 * Returns whether loading what a division lacks is worth its time.
	 * @param profile the model
	 * @param division the division of a failure domain
	 * @return {@code false} if the loads take too long
	 */
	static boolean worthwhile(ModelProfile profile, DomainDivision division) {
		double loadS = division.loadedLayers() * profile.loadSeconds() / profile.layers();
		return loadS / Math.max(1, profile.loadsAtOnce()) <= MAX_LOAD_S;
	}

	/**
	 * Plans the moves that can begin now.
	 * @param divisions the targets by failure domain
	 * @param otherLoads the number of loads that are ordered beside the moves
	 * @return the moves, the most urgent first
	 */
	List<LayerMove> towards(Map<String, DomainDivision> divisions, int otherLoads) {
		this.loadsLeft -= otherLoads;
		Map<String, int[]> coverage = coverage(divisions.keySet());
		List<Want> wants = new ArrayList<>();
		for (ReportedEngine state : this.fleet) {
			DomainDivision division = divisions.get(state.engine().failureDomain());
			LayerRange segment = (division != null) ? division.segments().get(state.engine().id()) : null;
			if (segment != null && !state.pending() && missing(state.engine().held(), segment) > 0) {
				wants.add(new Want(state.engine(), segment, fewestHolders(state.engine().held(), segment)));
			}
		}
		wants.sort(Comparator.comparingInt(Want::holders)
			.thenComparing(Want::segment)
			.thenComparing((want) -> want.engine().id()));
		long weakestAfter = FleetLayers.of(this.profile, after(divisions)).weakestTokens();
		List<LayerMove> moves = new ArrayList<>();
		for (Want want : wants) {
			if (this.loadsLeft <= 0) {
				break;
			}
			LayerRange held = want.engine().held();
			LayerRange range = step(want);
			if (range != null && !range.equals(held)) {
				giveUp(held, range);
				int closed = closed(coverage.get(want.engine().failureDomain()), range);
				int loaded = missing(held, range);
				this.loadsLeft -= (loaded > 0) ? 1 : 0;
				moves.add(new LayerMove(new Placement(want.engine(), range), reason(loaded, closed), loaded, closed,
						this.layers.weakestTokens(), weakestAfter));
			}
		}
		return moves;
	}

	/**
	 * Plans a second holder for the lowest layers that have a single one, where a failure
	 * domain has more empty engines than it keeps for its next loss.
	 * @return at most one move; none while orders are running or if there is only one
	 * failure domain, in which single holders are the rule
	 */
	Optional<LayerMove> secondHolder() {
		LayerRange single = this.layers.singleHolderLayers().orElse(null);
		if (single == null || this.layers.domains() < 2 || this.fleet.stream().anyMatch(ReportedEngine::pending)) {
			return Optional.empty();
		}
		String domain = this.fleet.stream()
			.map(ReportedEngine::engine)
			.filter((engine) -> missing(engine.held(), new LayerRange(single.first(), single.first() + 1)) == 0)
			.map(Engine::failureDomain)
			.findFirst()
			.orElseThrow();
		return this.fleet.stream()
			.map(ReportedEngine::engine)
			.filter((engine) -> engine.held() == null && spare(engine.failureDomain()))
			.filter((engine) -> this.profile.maxLayers(engine.kind(), RESERVE_TOKENS) > 0)
			.min(Comparator.comparing((Engine engine) -> engine.failureDomain().equals(domain))
				.thenComparing(Comparator.comparingDouble((Engine engine) -> engine.kind().memoryMb()).reversed())
				.thenComparing(Engine::id))
			.map((engine) -> copy(engine, single));
	}

	private LayerMove copy(Engine engine, LayerRange single) {
		int count = Math.min(single.end() - single.first(), this.profile.maxLayers(engine.kind(), RESERVE_TOKENS));
		LayerRange range = new LayerRange(single.first(), single.first() + count);
		List<ReportedEngine> after = this.fleet.stream()
			.map((state) -> state.engine().equals(engine) ? holding(engine, range) : state)
			.toList();
		return new LayerMove(new Placement(engine, range), LayerMove.Reason.SECOND_HOLDER, count, 0,
				this.layers.weakestTokens(), FleetLayers.of(this.profile, after).weakestTokens());
	}

	private boolean spare(String domain) {
		return this.layers.whole(domain) && this.fleet.stream()
			.map(ReportedEngine::engine)
			.filter((engine) -> engine.failureDomain().equals(domain) && engine.held() == null)
			.count() > MIN_EMPTY;
	}

	// Returns the range with which an engine comes closest to its segment now, or the
	// layers that it keeps while it frees memory. Each order waits for requests that pass
	// through what is given up, so two orders that complete the segment go first.
	private LayerRange step(Want want) {
		LayerRange held = want.engine().held();
		if (held == null) {
			return want.segment();
		}
		LayerRange kept = lastHeld(held);
		LayerRange best = best(want, held, kept);
		if (complete(want, best) || (best != null && complete(want, best(want, best, kept)))) {
			return best;
		}
		LayerRange reduced = reduced(held, kept, want.segment());
		LayerRange afterwards = (!reduced.equals(held)) ? best(want, reduced, kept) : null;
		boolean reduces = (best != null) ? complete(want, afterwards) : afterwards != null;
		return reduces ? reduced : best;
	}

	private static boolean complete(Want want, LayerRange range) {
		return range != null && missing(range, want.segment()) == 0;
	}

	// Returns the range that lacks the fewest layers of the segment, loads the fewest
	// others and gives up the fewest; null if none lacks fewer than the engine does now.
	private LayerRange best(Want want, LayerRange held, LayerRange kept) {
		int maxLayers = Math.max(this.profile.maxLayers(want.engine().kind(), RESERVE_TOKENS),
				want.segment().end() - want.segment().first());
		int memoryLayers = this.profile.maxLayers(want.engine().kind(), 0);
		LayerRange best = null;
		long bestCost = cost(held, held, want.segment());
		int last = Math.min(this.profile.layers() - 1, want.segment().end() - 1);
		for (int first = 0; first <= last; first++) {
			int maxEnd = Math.min(this.profile.layers(), first + maxLayers);
			for (int end = first + 1; end <= maxEnd; end++) {
				boolean keeps = kept == null || (first <= kept.first() && end >= kept.end());
				int overlap = Math.max(0, Math.min(end, held.end()) - Math.max(first, held.first()));
				boolean fits = held.end() - held.first() + end - first - overlap <= memoryLayers;
				if (keeps && fits) {
					LayerRange range = new LayerRange(first, end);
					long cost = cost(held, range, want.segment());
					if (cost < bestCost) {
						bestCost = cost;
						best = range;
					}
				}
			}
		}
		boolean closer = best != null && missing(best, want.segment()) < missing(held, want.segment());
		return closer ? best : null;
	}

	private long cost(LayerRange held, LayerRange range, LayerRange segment) {
		long weight = this.profile.layers() + 1;
		return (missing(range, segment) * weight + missing(held, range)) * weight + missing(range, held);
	}

	// Returns the fewest layers that the engine has to keep.
	private static LayerRange reduced(LayerRange held, LayerRange kept, LayerRange segment) {
		int first = Math.max(held.first(), segment.first());
		int end = Math.min(held.end(), segment.end());
		if (first >= end && kept == null) {
			return new LayerRange(held.first(), held.first() + 1);
		}
		if (first >= end) {
			return kept;
		}
		return (kept != null) ? new LayerRange(Math.min(first, kept.first()), Math.max(end, kept.end()))
				: new LayerRange(first, end);
	}

	// Returns the smallest range with all layers that no other engine surely holds.
	private LayerRange lastHeld(LayerRange held) {
		int first = held.first();
		while (first < held.end() && this.holders[first] > 1) {
			first++;
		}
		int end = held.end();
		while (end > first && this.holders[end - 1] > 1) {
			end--;
		}
		return (end > first) ? new LayerRange(first, end) : null;
	}

	private void giveUp(LayerRange held, LayerRange range) {
		for (int layer = (held != null) ? held.first() : 0; held != null && layer < held.end(); layer++) {
			if (layer < range.first() || layer >= range.end()) {
				this.holders[layer]--;
			}
		}
	}

	private Map<String, int[]> coverage(Set<String> domains) {
		Map<String, int[]> coverage = new HashMap<>();
		domains.forEach((domain) -> coverage.put(domain, new int[this.profile.layers()]));
		for (ReportedEngine state : this.fleet) {
			int[] ofDomain = coverage.get(state.engine().failureDomain());
			LayerRange held = state.engine().held();
			for (int layer = (held != null) ? held.first() : 0; ofDomain != null && held != null
					&& layer < held.end(); layer++) {
				ofDomain[layer]++;
			}
		}
		return coverage;
	}

	private static int closed(int[] coverage, LayerRange range) {
		int closed = 0;
		for (int layer = range.first(); layer < range.end(); layer++) {
			closed += (coverage[layer] == 0) ? 1 : 0;
			coverage[layer]++;
		}
		return closed;
	}

	private static LayerMove.Reason reason(int loaded, int closed) {
		if (loaded == 0) {
			return LayerMove.Reason.FREES_MEMORY;
		}
		return (closed > 0) ? LayerMove.Reason.CLOSES_GAP : LayerMove.Reason.TAKES_OVER;
	}

	private List<ReportedEngine> after(Map<String, DomainDivision> divisions) {
		return this.fleet.stream().map((state) -> {
			DomainDivision division = divisions.get(state.engine().failureDomain());
			LayerRange segment = (division != null) ? division.segments().get(state.engine().id()) : null;
			return (segment != null) ? holding(state.engine(), segment) : state;
		}).toList();
	}

	private static ReportedEngine holding(Engine engine, LayerRange range) {
		return new ReportedEngine(new Engine(engine.id(), engine.address(), engine.failureDomain(), engine.kind(),
				range, engine.leaving()), range);
	}

	private int fewestHolders(LayerRange held, LayerRange segment) {
		int fewest = Integer.MAX_VALUE;
		for (int layer = segment.first(); layer < segment.end(); layer++) {
			if (held == null || layer < held.first() || layer >= held.end()) {
				fewest = Math.min(fewest, this.holders[layer]);
			}
		}
		return fewest;
	}

	private static int missing(LayerRange held, LayerRange wanted) {
		int size = wanted.end() - wanted.first();
		if (held == null) {
			return size;
		}
		return size - Math.max(0, Math.min(held.end(), wanted.end()) - Math.max(held.first(), wanted.first()));
	}

	/**
	 * An engine that does not hold all of its segment.
	 *
	 * @param engine the engine
	 * @param segment the layers that it has to hold
	 * @param holders the fewest holders in the fleet of a layer that it lacks
	 */
	private record Want(Engine engine, LayerRange segment, int holders) {
	}

}
