package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.whinjunction.configuration.LayerRange;

/**
 * A division of all layers among the engines of a failure domain that loads few layers,
 * given what they hold.
 * <p>
 * Load pattern: engines left without successors. Those that remain have memory for all
 * layers, but none beside the gap has room. Either boundaries shift from the gap to the
 * engines with room, or an engine leaves its place to its neighbours and loads the gap.
 * <p>
 * For a given order of the engines along the layers, the boundaries that load the fewest
 * layers are found exactly; the order is improved by moving one engine at a time.
 * <p>
 * Invariants: the segments cover each layer exactly once; no engine has a segment beyond
 * its memory; the same engines give the same division regardless of their order.
 * Immutable.
 *
 * @param segments the layers that each engine has to hold, by engine name; engines that
 * need not hold any are left out
 * @param loadedLayers the number of layers to load
 */
record DomainDivision(Map<String, LayerRange> segments, int loadedLayers) {

	/**
	 * Capacity that every engine keeps, in tokens, if memory suffices for it; otherwise
	 * the next value applies.
	 */
	private static final long[] RESERVES_TOKENS = { 30_000, 12_000 };

	/** Maximum number of engines that are considered: a path has no more hops. */
	private static final int MAX_MEMBERS = PathFinder.MAX_HOPS;

	/** Maximum number of engines that are considered and that no layer depends on. */
	private static final int MAX_FREE = 6;

	/** Maximum number of engines whose place among the others changes. */
	private static final int MAX_RELOCATIONS = 8;

	/** Weight of a loaded layer: all full engines together cost less. */
	private static final long LOADED_WEIGHT = 10_000;

	private static final long FULL_WEIGHT = 10;

	/**
	 * Divides a failure domain.
	 * @param profile the model
	 * @param engines the failure domain's engines that are not leaving
	 * @return the division, or empty if memory does not suffice
	 */
	static Optional<DomainDivision> of(ModelProfile profile, List<Engine> engines) {
		for (long reserveTokens : RESERVES_TOKENS) {
			List<Member> members = members(profile, engines, reserveTokens);
			int together = members.stream().mapToInt(Member::maxLayers).sum();
			if (together >= profile.layers()) {
				return Optional.of(new Search(profile.layers(), members).run(members));
			}
		}
		return Optional.empty();
	}

	// Returns the engines that hold the layers of the failure domain in order, then the
	// empty ones and those whose layers others hold too.
	private static List<Member> members(ModelProfile profile, List<Engine> engines, long reserveTokens) {
		List<Member> sorted = engines.stream()
			.map((engine) -> Member.of(profile, engine, reserveTokens))
			.filter((member) -> member.maxLayers() > 0)
			.sorted(Comparator.comparingInt(Member::first).thenComparing(Member::end).thenComparing(Member::id))
			.toList();
		List<Member> members = new ArrayList<>();
		int covered = 0;
		while (members.size() < MAX_MEMBERS) {
			Member next = next(sorted, covered);
			if (next == null) {
				break;
			}
			members.add(next);
			covered = next.end();
		}
		sorted.stream()
			.filter((member) -> !members.contains(member))
			.sorted(Comparator.comparing(Member::holds)
				.thenComparing(Comparator.comparingInt(Member::maxLayers).reversed())
				.thenComparing(Member::id))
			.limit(Math.min(MAX_FREE, MAX_MEMBERS - members.size()))
			.toList()
			.forEach(members::add);
		return members;
	}

	// Returns the engine that continues at a layer and reaches furthest, or the first one
	// behind a gap.
	private static Member next(List<Member> sorted, int covered) {
		Member next = null;
		for (Member member : sorted) {
			boolean continues = member.first() <= covered && member.end() > covered;
			if (continues && (next == null || member.end() > next.end())) {
				next = member;
			}
			else if (next == null && member.first() > covered && member.holds()) {
				return member;
			}
		}
		return next;
	}

	/**
	 * An engine with the layers that it holds; an empty one holds none from 0 to 0.
	 *
	 * @param id its name
	 * @param first its first layer
	 * @param end one past its last layer
	 * @param maxLayers the number of layers that it may hold
	 * @param fullCosts the cost of a segment by size, whichever layers it holds: prefers
	 * engines that keep free memory among divisions that load equally many layers
	 */
	private record Member(String id, int first, int end, int maxLayers, long[] fullCosts) {

		static Member of(ModelProfile profile, Engine engine, long reserveTokens) {
			int maxLayers = profile.maxLayers(engine.kind(), reserveTokens);
			long[] fullCosts = new long[maxLayers + 1];
			for (int size = 1; size <= maxLayers; size++) {
				fullCosts[size] = FULL_WEIGHT * size * size / maxLayers;
			}
			LayerRange held = engine.held();
			return (held != null) ? new Member(engine.id(), held.first(), held.end(), maxLayers, fullCosts)
					: new Member(engine.id(), 0, 0, maxLayers, fullCosts);
		}

		boolean holds() {
			return this.end > this.first;
		}

		int loaded(int from, int to) {
			return to - from - Math.max(0, Math.min(to, this.end) - Math.max(from, this.first));
		}

		long cost(int from, int to) {
			return LOADED_WEIGHT * loaded(from, to) + this.fullCosts[to - from];
		}

	}

	/** Search for the order of the engines; confined to its caller. */
	private static final class Search {

		private static final long NONE = Long.MAX_VALUE / 4;

		private final int layers;

		/** Cost of the best cover of the layers before each one by the first engines. */
		private final long[][] before;

		/** Cost of the best cover of the layers from each one by the last engines. */
		private final long[][] behind;

		/** The least cost of the layers from each one: those that nobody holds. */
		private final long[] unheldCosts;

		Search(int layers, List<Member> members) {
			this.layers = layers;
			this.unheldCosts = new long[layers + 1];
			for (int layer = layers - 1; layer >= 0; layer--) {
				int at = layer;
				boolean held = members.stream().anyMatch((member) -> member.first() <= at && member.end() > at);
				this.unheldCosts[layer] = this.unheldCosts[layer + 1] + (held ? 0 : LOADED_WEIGHT);
			}
			this.before = new long[MAX_MEMBERS + 1][layers + 1];
			this.behind = new long[MAX_MEMBERS + 1][layers + 1];
		}

		DomainDivision run(List<Member> members) {
			List<Member> order = members;
			coverBehind(order, NONE);
			long cost = this.behind[0][0];
			for (int round = 0; round < MAX_RELOCATIONS && cost >= this.unheldCosts[0] + LOADED_WEIGHT; round++) {
				List<Member> better = null;
				for (int from = 0; from < order.size(); from++) {
					List<Member> others = new ArrayList<>(order);
					Member member = others.remove(from);
					coverBefore(others, cost);
					coverBehind(others, cost);
					for (int to = 0; to <= others.size(); to++) {
						long costAtPlace = cost(member, to, cost);
						if (costAtPlace < cost) {
							cost = costAtPlace;
							better = new ArrayList<>(others);
							better.add(to, member);
						}
					}
				}
				if (better == null) {
					break;
				}
				order = better;
			}
			coverBehind(order, NONE);
			return division(order);
		}

		// Returns the cost of all layers if an engine comes after this number of others.
		private long cost(Member member, int place, long limit) {
			long best = NONE;
			for (int from = 0; from <= this.layers; from++) {
				long before = this.before[place][from];
				int maxEnd = (before + this.unheldCosts[from] < limit)
						? Math.min(this.layers, from + member.maxLayers()) : -1;
				for (int end = from; end <= maxEnd; end++) {
					best = Math.min(best, before + member.cost(from, end) + this.behind[place][end]);
				}
			}
			return best;
		}

		private void coverBefore(List<Member> order, long limit) {
			Arrays.fill(this.before[0], NONE);
			this.before[0][0] = 0;
			for (int index = 0; index < order.size(); index++) {
				Member member = order.get(index);
				long[] costs = this.before[index];
				long[] next = this.before[index + 1];
				Arrays.fill(next, NONE);
				for (int from = 0; from <= this.layers; from++) {
					int maxEnd = (costs[from] + this.unheldCosts[from] < limit)
							? Math.min(this.layers, from + member.maxLayers()) : -1;
					for (int end = from; end <= maxEnd; end++) {
						next[end] = Math.min(next[end], costs[from] + member.cost(from, end));
					}
				}
			}
		}

		private void coverBehind(List<Member> order, long limit) {
			Arrays.fill(this.behind[order.size()], NONE);
			this.behind[order.size()][this.layers] = 0;
			for (int index = order.size() - 1; index >= 0; index--) {
				Member member = order.get(index);
				long[] costs = this.behind[index + 1];
				long[] next = this.behind[index];
				Arrays.fill(next, NONE);
				for (int end = 0; end <= this.layers; end++) {
					int minFrom = (costs[end] + this.unheldCosts[0] - this.unheldCosts[end] < limit)
							? Math.max(0, end - member.maxLayers()) : this.layers + 1;
					for (int from = minFrom; from <= end; from++) {
						next[from] = Math.min(next[from], costs[end] + member.cost(from, end));
					}
				}
			}
		}

		private DomainDivision division(List<Member> order) {
			Map<String, LayerRange> segments = new HashMap<>();
			int loaded = 0;
			int first = 0;
			for (int index = 0; index < order.size(); index++) {
				Member member = order.get(index);
				int end = first;
				while (member.cost(first, end) + this.behind[index + 1][end] != this.behind[index][first]) {
					end++;
				}
				if (end > first) {
					segments.put(member.id(), new LayerRange(first, end));
					loaded += member.loaded(first, end);
				}
				first = end;
			}
			return new DomainDivision(Map.copyOf(segments), loaded);
		}

	}

}
