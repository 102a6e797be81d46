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
 * boundaries, where an engine may run any sub-range of the layers it holds.
 * <p>
 * Load pattern: engines of different speed, layer gaps after a loss and engines without
 * free capacity. A path may leave the failure domain, or run entirely in another one, if
 * that is cheaper than a full or missing engine in the home domain.
 * <p>
 * Invariants: the layers of a path are contiguous from its start to the last layer,
 * without gap or overlap; no engine occurs twice. Stateless.
 */
public final class PathFinder {

	/** Maximum number of engines in a path; engines refuse longer ones. */
	public static final int MAX_HOPS = 32;

	/** Cost of a hop inside a failure domain: both sides of a link of 0.1 ms each. */
	private static final double HOP_MS = 0.2;

	/**
	 * Additional cost of a hop to another failure domain: the activations of a prompt
	 * occupy the bandwidth that all such hops share. As high as the cost of a complete
	 * path inside a failure domain, so that a path moves to another domain entirely if it
	 * can.
	 */
	private static final double DOMAIN_CHANGE_MS = 8.0;

	/**
	 * Cost of a path in a failure domain other than the caller's: the text of a request
	 * and its events cross once each, the activations do not.
	 */
	private static final double REMOTE_MS = 1.0;

	private PathFinder() {
	}

	/**
	 * Finds the cheapest path.
	 * @param profile the model
	 * @param engines the usable engines with their costs; those with layers that the
	 * model does not have are left out
	 * @param start the start of the path
	 * @return the hops in order, or empty if no path covers all layers
	 */
	public static Optional<List<Hop>> find(ModelProfile profile, Collection<Candidate> engines, Start start) {
		Set<String> excluded = new HashSet<>();
		// Each round excludes one engine that lay between two hops of the same
		// engine, so the loop terminates.
		while (excluded.size() <= engines.size()) {
			Search search = new Search(profile, engines, start, excluded);
			List<Hop> hops = search.run();
			if (hops == null || hops.size() > MAX_HOPS) {
				return Optional.empty();
			}
			String excludedNext = engineBetweenSplitHops(hops);
			if (excludedNext == null) {
				return Optional.of(hops);
			}
			excluded.add(excludedNext);
		}
		return Optional.empty();
	}

	private static String engineBetweenSplitHops(List<Hop> hops) {
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
	 * Start of a path. Immutable.
	 *
	 * @param layer the first layer that it covers
	 * @param failureDomain the failure domain from which it is reached at no extra cost
	 * @param remoteMs the cost of starting in another failure domain, in milliseconds
	 * @param mayStart whether it may start at an engine
	 */
	public record Start(int layer, String failureDomain, double remoteMs, Predicate<Engine> mayStart) {

		/**
		 * Returns the start of a full path.
		 * @param home the failure domain of the caller
		 * @param mayStart whether it may start at an engine
		 * @return the start
		 */
		public static Start full(String home, Predicate<Engine> mayStart) {
			return new Start(0, home, REMOTE_MS, mayStart);
		}

		/**
		 * Returns the start of the remaining path behind a first hop that stays.
		 * @param first the first hop
		 * @return the start
		 */
		public static Start after(Hop first) {
			return new Start(first.layers().end(), first.engine().failureDomain(), DOMAIN_CHANGE_MS, (engine) -> true);
		}

	}

	/**
	 * A usable engine.
	 *
	 * @param engine the engine, which holds layers
	 * @param layerMs the expected time of a token step of one of its layers, in
	 * milliseconds
	 * @param penaltyMs the additional cost of using it, in milliseconds; higher for
	 * engines that are nearly full or were slow
	 * @param startMs the additional cost of starting a request there, in milliseconds
	 */
	public record Candidate(Engine engine, double layerMs, double penaltyMs, double startMs) {

		/**
		 * Creates a candidate at which requests may start at no additional cost.
		 * @param engine the engine, which holds layers
		 * @param layerMs the expected time of a token step of one of its layers, in
		 * milliseconds
		 * @param penaltyMs the additional cost of using it, in milliseconds
		 */
		public Candidate(Engine engine, double layerMs, double penaltyMs) {
			this(engine, layerMs, penaltyMs, 0);
		}

	}

	/** A single run of the search; confined to its caller. */
	private static final class Search {

		private final int[] bounds;

		/** The bound at which the model ends. */
		private final int lastBound;

		private final Map<String, Integer> domains = new LinkedHashMap<>();

		private final List<List<Candidate>> startingAt = new ArrayList<>();

		private static final int HOME = 0;

		private final Start start;

		private final double[] costs;

		private final Step[] steps;

		/** Cost of entering each failure domain at the current bound. */
		private final double[] entryCosts;

		/** The failure domain that each one is entered from; -1 if none is reached. */
		private final int[] entryDomains;

		Search(ModelProfile profile, Collection<Candidate> engines, Start start, Set<String> excluded) {
			this.start = start;
			List<Candidate> usable = engines.stream()
				.filter((candidate) -> profile.contains(candidate.engine().held())
						&& !excluded.contains(candidate.engine().id()))
				.toList();
			// A set of two equal layers would be refused.
			TreeSet<Integer> bounds = new TreeSet<>(List.of(start.layer(), profile.layers()));
			this.domains.put(start.failureDomain(), HOME);
			for (Candidate candidate : usable) {
				bounds.add(candidate.engine().held().first());
				bounds.add(candidate.engine().held().end());
				this.domains.putIfAbsent(candidate.engine().failureDomain(), this.domains.size());
			}
			this.bounds = bounds.stream().mapToInt(Integer::intValue).toArray();
			this.lastBound = Arrays.binarySearch(this.bounds, profile.layers());
			for (int index = 0; index < this.bounds.length; index++) {
				this.startingAt.add(new ArrayList<>());
			}
			usable.forEach(this::addToBounds);
			this.costs = new double[this.bounds.length * this.domains.size()];
			this.steps = new Step[this.costs.length];
			this.entryCosts = new double[this.domains.size()];
			this.entryDomains = new int[this.domains.size()];
			Arrays.fill(this.costs, Double.POSITIVE_INFINITY);
			for (int domain = 0; domain < this.domains.size(); domain++) {
				this.costs[firstBound() * this.domains.size() + domain] = (domain == HOME) ? 0 : start.remoteMs();
			}
		}

		List<Hop> run() {
			int first = firstBound();
			for (int from = first; from < this.lastBound; from++) {
				enter(from);
				for (Candidate candidate : this.startingAt.get(from)) {
					if (from > first || this.start.mayStart().test(candidate.engine())) {
						relax(from, candidate);
					}
				}
			}
			return backtrack();
		}

		private int firstBound() {
			return Arrays.binarySearch(this.bounds, this.start.layer());
		}

		private void addToBounds(Candidate candidate) {
			int end = candidate.engine().held().end();
			int index = Arrays.binarySearch(this.bounds, candidate.engine().held().first());
			while (index < this.bounds.length && this.bounds[index] < end) {
				this.startingAt.get(index).add(candidate);
				index++;
			}
		}

		private void enter(int from) {
			int count = this.entryCosts.length;
			for (int domain = 0; domain < count; domain++) {
				this.entryDomains[domain] = -1;
				this.entryCosts[domain] = Double.POSITIVE_INFINITY;
				for (int other = 0; other < count; other++) {
					double cost = this.costs[from * count + other] + ((other != domain) ? DOMAIN_CHANGE_MS : 0);
					if (cost < this.entryCosts[domain]) {
						this.entryCosts[domain] = cost;
						this.entryDomains[domain] = other;
					}
				}
			}
		}

		private void relax(int from, Candidate candidate) {
			int domain = this.domains.get(candidate.engine().failureDomain());
			int before = this.entryDomains[domain];
			if (before < 0) {
				return;
			}
			double fixed = this.entryCosts[domain] + HOP_MS + candidate.penaltyMs()
					+ ((this.bounds[from] == 0) ? candidate.startMs() : 0);
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

		private List<Hop> backtrack() {
			int at = this.lastBound;
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
