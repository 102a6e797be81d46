package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import io.whinjunction.configuration.LayerRange;

/**
 * Finds the engines that a request passes through: the cheapest path over layer
 * boundaries, where an engine may run any part of the range it holds.
 * <p>
 * The load it answers: engines with unlike speeds, holes after a loss and engines without
 * room. A path may leave the failure domain, or lie in another one as a whole, where that
 * is cheaper than a full or missing engine at home.
 * <p>
 * Invariants: the layers of a path follow each other from its start to the last without
 * gap or overlap; no engine stands in it twice. Stateless.
 */
public final class PathFinder {

	/** The most engines that a path may name; longer ones are refused by engines. */
	public static final int MOST_HOPS = 32;

	/** A hop inside a failure domain: two sides of a link of 0.1 ms each. */
	private static final double HOP_MS = 0.2;

	/**
	 * What a hop to another failure domain adds: the activations of a prompt hold up the
	 * pipe that all such hops share. As much as a whole path inside a failure domain, so
	 * that a path goes elsewhere as a whole where it can.
	 */
	private static final double DOMAIN_CHANGE_MS = 8.0;

	/**
	 * What a path in another failure domain than the caller's costs: the text of a
	 * request and its events cross once each, not the activations.
	 */
	private static final double AWAY_MS = 1.0;

	private PathFinder() {
	}

	/**
	 * Finds the cheapest path.
	 * @param profile the model
	 * @param engines engines that may be used, with what they cost
	 * @param start where the path begins
	 * @return the hops in order, or empty where no path covers all layers
	 */
	public static Optional<List<Hop>> find(ModelProfile profile, Collection<Candidate> engines, Start start) {
		Set<String> excluded = new HashSet<>();
		// Each round excludes one engine that stood between two parts of another, so
		// that the rounds end.
		while (excluded.size() <= engines.size()) {
			Search search = new Search(profile, engines, start, excluded);
			List<Hop> hops = search.run();
			if (hops == null || hops.size() > MOST_HOPS) {
				return Optional.empty();
			}
			String between = betweenParts(hops);
			if (between == null) {
				return Optional.of(hops);
			}
			excluded.add(between);
		}
		return Optional.empty();
	}

	private static String betweenParts(List<Hop> hops) {
		Map<String, Integer> seen = new HashMap<>();
		for (int index = 0; index < hops.size(); index++) {
			Integer before = seen.put(hops.get(index).engine().id(), index);
			if (before != null) {
				return hops.get(before + 1).engine().id();
			}
		}
		return null;
	}

	/**
	 * Where a path begins. Immutable.
	 *
	 * @param layer the first layer that it covers
	 * @param failureDomain the failure domain from which it is reached without a detour
	 * @param awayMs what beginning in another one costs, in milliseconds
	 * @param mayStart whether it may begin at an engine
	 */
	public record Start(int layer, String failureDomain, double awayMs, Predicate<Engine> mayStart) {

		/**
		 * A whole path.
		 * @param home the failure domain of the caller
		 * @param mayStart whether it may begin at an engine
		 * @return the start
		 */
		public static Start whole(String home, Predicate<Engine> mayStart) {
			return new Start(0, home, AWAY_MS, mayStart);
		}

		/**
		 * The rest of a path whose first hop stays.
		 * @param first the first hop
		 * @return the start
		 */
		public static Start after(Hop first) {
			return new Start(first.layers().end(), first.engine().failureDomain(), DOMAIN_CHANGE_MS, (engine) -> true);
		}

	}

	/**
	 * An engine that may be used.
	 *
	 * @param engine the engine, which holds layers
	 * @param layerMs the expected time of a token step of one of its layers, in
	 * milliseconds
	 * @param penaltyMs what using it costs besides, in milliseconds; larger for engines
	 * that are nearly full or were slow
	 */
	public record Candidate(Engine engine, double layerMs, double penaltyMs) {
	}

	/** One run of the search; confined to its caller. */
	private static final class Search {

		private final int[] bounds;

		private final Map<String, Integer> domains = new LinkedHashMap<>();

		private final List<List<Candidate>> startingAt = new ArrayList<>();

		private static final int HOME = 0;

		private final Start start;

		private final double[] costs;

		private final Step[] steps;

		Search(ModelProfile profile, Collection<Candidate> engines, Start start, Set<String> excluded) {
			this.start = start;
			TreeSet<Integer> bounds = new TreeSet<>(Set.of(start.layer(), profile.layers()));
			this.domains.put(start.failureDomain(), HOME);
			for (Candidate candidate : engines) {
				if (!excluded.contains(candidate.engine().id())) {
					bounds.add(candidate.engine().held().first());
					bounds.add(candidate.engine().held().end());
					this.domains.putIfAbsent(candidate.engine().failureDomain(), this.domains.size());
				}
			}
			this.bounds = bounds.stream().mapToInt(Integer::intValue).toArray();
			for (int index = 0; index < this.bounds.length; index++) {
				this.startingAt.add(new ArrayList<>());
			}
			for (Candidate candidate : engines) {
				if (!excluded.contains(candidate.engine().id())) {
					addToBounds(candidate);
				}
			}
			this.costs = new double[this.bounds.length * this.domains.size()];
			this.steps = new Step[this.costs.length];
			Arrays.fill(this.costs, Double.POSITIVE_INFINITY);
			for (int domain = 0; domain < this.domains.size(); domain++) {
				this.costs[firstBound() * this.domains.size() + domain] = (domain == HOME) ? 0 : start.awayMs();
			}
		}

		List<Hop> run() {
			for (int from = firstBound(); from + 1 < this.bounds.length; from++) {
				for (Candidate candidate : this.startingAt.get(from)) {
					if (from > firstBound() || this.start.mayStart().test(candidate.engine())) {
						relax(from, candidate);
					}
				}
			}
			return back();
		}

		private int firstBound() {
			return Arrays.binarySearch(this.bounds, this.start.layer());
		}

		private void addToBounds(Candidate candidate) {
			LayerRange held = candidate.engine().held();
			for (int index = 0; index < this.bounds.length; index++) {
				if (this.bounds[index] >= held.first() && this.bounds[index] < held.end()) {
					this.startingAt.get(index).add(candidate);
				}
			}
		}

		private void relax(int from, Candidate candidate) {
			int domain = this.domains.get(candidate.engine().failureDomain());
			int before = -1;
			double entry = Double.POSITIVE_INFINITY;
			for (int other = 0; other < this.domains.size(); other++) {
				double cost = this.costs[from * this.domains.size() + other]
						+ ((other != domain) ? DOMAIN_CHANGE_MS : 0);
				if (cost < entry) {
					entry = cost;
					before = other;
				}
			}
			if (before < 0) {
				return;
			}
			double fixed = entry + HOP_MS + candidate.penaltyMs();
			for (int to = from + 1; to < this.bounds.length
					&& this.bounds[to] <= candidate.engine().held().end(); to++) {
				double cost = fixed + (this.bounds[to] - this.bounds[from]) * candidate.layerMs();
				int state = to * this.domains.size() + domain;
				if (cost < this.costs[state]) {
					this.costs[state] = cost;
					this.steps[state] = new Step(candidate.engine(), from, before);
				}
			}
		}

		private List<Hop> back() {
			int at = this.bounds.length - 1;
			int domain = -1;
			double best = Double.POSITIVE_INFINITY;
			for (int other = 0; other < this.domains.size(); other++) {
				double cost = this.costs[at * this.domains.size() + other];
				if (cost < best) {
					best = cost;
					domain = other;
				}
			}
			if (domain < 0) {
				return null;
			}
			List<Hop> hops = new ArrayList<>();
			while (at > firstBound()) {
				Step step = this.steps[at * this.domains.size() + domain];
				hops.add(new Hop(step.engine(), new LayerRange(this.bounds[step.from()], this.bounds[at])));
				at = step.from();
				domain = step.domainBefore();
			}
			Collections.reverse(hops);
			return hops;
		}

	}

	private record Step(Engine engine, int from, int domainBefore) {
	}

}
