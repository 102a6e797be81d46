package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.whinjunction.chain.Congestion;
import io.whinjunction.chain.Engine;
import io.whinjunction.chain.EngineKind;
import io.whinjunction.chain.Hop;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.PathCosts;
import io.whinjunction.chain.PathFinder;
import io.whinjunction.chain.StartSpread;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.routing.RoutedService;

/**
 * Selects the target of an attempt from the directory of upstreams.
 * <p>
 * Invariant: an attempt does not start at an upstream that is leaving, at which the same
 * request failed before, whose reported limit leaves no share to this router, that
 * requested not to be called now, or to which this router can't connect. A path may pass
 * through the latter, since engines connect to each other. Confined to the event loop.
 */
final class TargetChooser {

	private final UpstreamDirectory directory;

	private final PeerTable peers;

	private final Admission admission;

	private final Map<String, Double> slowdowns;

	private final String failureDomain;

	private final RandomGenerator random;

	/**
	 * Creates a chooser.
	 * @param directory the upstreams
	 * @param peers the reported load of peers
	 * @param admission what upstreams allow this router to send
	 * @param slowdowns how much slower than usual engines work, by incarnation, as
	 * measured by this router; read at each choice
	 * @param failureDomain the failure domain of this router
	 * @param random the source of randomness
	 */
	TargetChooser(UpstreamDirectory directory, PeerTable peers, Admission admission, Map<String, Double> slowdowns,
			String failureDomain, RandomGenerator random) {
		this.random = random;
		this.admission = admission;
		this.slowdowns = slowdowns;
		this.directory = directory;
		this.peers = peers;
		this.failureDomain = failureDomain;
	}

	/**
	 * Selects a target.
	 * @param criteria the selection criteria
	 * @param nowMs the time
	 * @return the target, or empty if no upstream can serve the request now
	 */
	Optional<Target> choose(Criteria criteria, long nowMs) {
		if (criteria.service().chained()) {
			return chain(criteria, nowMs);
		}
		return (criteria.onlyFirst() != null) ? chooseTried(criteria.onlyFirst()) : single(criteria, nowMs);
	}

	private Optional<Target> chooseTried(Set<String> tried) {
		return tried.stream()
			.map(this.directory::find)
			.filter((state) -> state != null && !state.leaving() && mayStartAt(state.incarnation()))
			.min(Comparator.comparingInt(UpstreamState::requests))
			.map((state) -> new Target.Direct(state.upstream(), List.of()));
	}

	private Optional<Target> single(Criteria criteria, long nowMs) {
		Set<String> tried = criteria.tried();
		Comparator<UpstreamState> order = Comparator
			.comparing((UpstreamState state) -> tried.contains(state.incarnation()))
			.thenComparing((state) -> state.avoided(nowMs))
			.thenComparingInt(UpstreamState::requests)
			.thenComparing((state) -> !state.upstream().failureDomain().equals(this.failureDomain))
			.thenComparing((state) -> state.incarnation());
		return this.directory.active(criteria.service())
			.stream()
			.filter((state) -> !tried.contains(state.incarnation()) && mayStartAt(state.incarnation()))
			.min(order)
			.map((state) -> new Target.Direct(state.upstream(), List.of()));
	}

	private Optional<Target> chain(Criteria criteria, long nowMs) {
		Predicate<Engine> mayStart = (
				engine) -> (criteria.onlyFirst() == null || criteria.onlyFirst().contains(engine.id()))
						&& mayStartAt(engine.id());
		return PathFinder
			.find(criteria.service().model(), candidates(criteria, this.random.nextDouble(), nowMs),
					PathFinder.Start.full(this.failureDomain, mayStart))
			.map(this::target);
	}

	/**
	 * Selects another path with the same first hop.
	 * @param criteria the selection criteria
	 * @param first the first hop
	 * @param nowMs the time
	 * @return the complete path, or empty if there is none
	 */
	Optional<List<Hop>> detour(Criteria criteria, Hop first, long nowMs) {
		List<PathFinder.Candidate> others = candidates(criteria, 0, nowMs);
		others.removeIf((candidate) -> candidate.engine().id().equals(first.engine().id()));
		return PathFinder.find(criteria.service().model(), others, PathFinder.Start.after(first)).map((rest) -> {
			List<Hop> path = new ArrayList<>(List.of(first));
			path.addAll(rest);
			return path;
		});
	}

	private List<PathFinder.Candidate> candidates(Criteria criteria, double draw, long nowMs) {
		ModelProfile profile = criteria.service().model();
		// All routers decide independently and much alike: what this router has just sent
		// to an engine, its peers have sent there too. Without this factor prompts would
		// all go to the same engine after a loss and be read one after the other.
		int routers = 1 + this.peers.activeCount(nowMs);
		List<PathFinder.Candidate> candidates = new ArrayList<>();
		for (UpstreamState state : this.directory.active(criteria.service())) {
			EngineKind kind = profile.kinds().get(state.upstream().kind());
			if (state.upstream().held() == null || criteria.tried().contains(state.incarnation())) {
				continue;
			}
			double usedRatio = usedRatio(profile, kind, state, nowMs);
			if (!criteria.mustFit() || !full(profile, kind, state.upstream().held(), usedRatio)) {
				PathCosts.Load load = new PathCosts.Load(usedRatio, (double) routers * state.unreadTokens(),
						slowdown(state, nowMs), avoided(state, nowMs),
						StartSpread.costMs(slotRatio(profile, state, nowMs), draw));
				candidates.add(PathCosts.rate(profile, engine(state, kind), load, criteria.tokens()));
			}
		}
		return candidates;
	}

	/**
	 * Counts what prevents upstreams from being chosen.
	 * @param criteria the selection criteria for which no target was found
	 * @param nowMs the time
	 * @return the counts
	 */
	Unusable unusable(Criteria criteria, long nowMs) {
		Collection<UpstreamState> active = this.directory.active(criteria.service());
		int failed = 0;
		int full = 0;
		int mayNotStart = 0;
		for (UpstreamState state : active) {
			failed += criteria.tried().contains(state.incarnation()) ? 1 : 0;
			full += (criteria.mustFit() && full(criteria.service(), state, nowMs)) ? 1 : 0;
			mayNotStart += mayStartAt(state.incarnation()) ? 0 : 1;
		}
		int startsAllowed = (criteria.onlyFirst() != null) ? criteria.onlyFirst().size() : active.size();
		return new Unusable(active.size(), startsAllowed, failed, full, mayNotStart);
	}

	private boolean full(RoutedService service, UpstreamState state, long nowMs) {
		LayerRange held = state.upstream().held();
		if (!service.chained() || held == null) {
			return false;
		}
		EngineKind kind = service.model().kinds().get(state.upstream().kind());
		return full(service.model(), kind, held, usedRatio(service.model(), kind, state, nowMs));
	}

	private boolean mayStartAt(String upstream) {
		return !this.admission.availability().backingOff(upstream) && this.admission.limits().allows(upstream)
				&& !this.admission.reachability().unconnected(upstream);
	}

	private boolean avoided(UpstreamState state, long nowMs) {
		return state.avoided(nowMs) || this.admission.availability().backingOff(state.incarnation());
	}

	/**
	 * Returns when an attempt may start at any upstream of a service, as far as upstreams
	 * requested not to be called.
	 * @param service the service
	 * @return milliseconds from now; 0 if backoffs prevent no attempt
	 */
	long backoffMs(RoutedService service) {
		List<UpstreamState> starts = new ArrayList<>(this.directory.active(service));
		if (service.chained()) {
			starts.removeIf((state) -> state.upstream().held() == null || state.upstream().held().first() > 0);
		}
		return this.admission.availability().backoffMs(starts);
	}

	private double slowdown(UpstreamState state, long nowMs) {
		return Math.max(this.slowdowns.getOrDefault(state.incarnation(), 1.0),
				this.peers.slowdownOf(state.incarnation(), nowMs));
	}

	private static Engine engine(UpstreamState state, EngineKind kind) {
		Upstream upstream = state.upstream();
		return new Engine(state.incarnation(), upstream.address(), upstream.failureDomain(), kind, upstream.held(),
				false);
	}

	private static boolean full(ModelProfile profile, EngineKind kind, LayerRange held, double usedRatio) {
		return Congestion.full(usedRatio, profile.kvCapacityTokens(kind, held.end() - held.first()));
	}

	/**
	 * Returns the ratio of an engine's capacity that the requests of all routers occupy.
	 * @param profile the model
	 * @param kind the engine's kind
	 * @param state the engine, which holds layers
	 * @param nowMs the time
	 * @return 0 if the engine is free, 1 or more if it is full
	 */
	double usedRatio(ModelProfile profile, EngineKind kind, UpstreamState state, long nowMs) {
		LayerRange held = state.upstream().held();
		double capacity = profile.kvCapacityTokenLayers(kind, held.end() - held.first());
		double used = state.tokenLayers() + this.peers.tokenLayersAt(state.incarnation(), nowMs);
		return used / Math.max(1, capacity);
	}

	// Every path over an engine with the first layer starts there.
	private double slotRatio(ModelProfile profile, UpstreamState state, long nowMs) {
		LayerRange held = state.upstream().held();
		if (held.first() > 0 || state.upstream().slots() <= 0) {
			return 0;
		}
		double tokenLayers = (double) profile.meanTokens() * (held.end() - held.first());
		double ofPeers = this.peers.tokenLayersAt(state.incarnation(), nowMs) / Math.max(1, tokenLayers);
		return (state.requests() + ofPeers) / state.upstream().slots();
	}

	private Target target(List<Hop> path) {
		UpstreamState first = this.directory.find(path.getFirst().engine().id());
		return new Target.Direct(first.upstream(), path);
	}

	/**
	 * What this router may and can send to upstreams.
	 *
	 * @param limits the limits that upstreams report
	 * @param availability the backoffs that upstreams request
	 * @param reachability the upstreams to which this router can't connect
	 */
	record Admission(UpstreamLimits limits, UpstreamAvailability availability, ReachabilityMonitor reachability) {
	}

	/**
	 * Why no upstream could be chosen. Immutable.
	 *
	 * @param active the number of upstreams of the service that are not leaving
	 * @param startsAllowed at how many of them the attempt may start
	 * @param failed how many made the request fail before
	 * @param full how many have no free capacity, if the request has to fit
	 * @param mayNotStart how many are in a backoff or have no share of their limit left
	 */
	record Unusable(int active, int startsAllowed, int failed, int full, int mayNotStart) {

		@Override
		public String toString() {
			return "active=" + this.active + " starts-allowed=" + this.startsAllowed + " failed=" + this.failed
					+ " full=" + this.full + " may-not-start=" + this.mayNotStart;
		}

	}

	/**
	 * The selection criteria of an attempt. Immutable.
	 *
	 * @param service the service
	 * @param tokens tokens that the request is expected to occupy
	 * @param tried incarnations of upstreams that made the request fail
	 * @param onlyFirst incarnations of the upstreams that it may be sent to; {@code null}
	 * for any
	 * @param mustFit whether the request is rejected rather than sent to a full engine
	 */
	record Criteria(RoutedService service, int tokens, Set<String> tried, Set<String> onlyFirst, boolean mustFit) {
	}

}
