package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.whinjunction.chain.Congestion;
import io.whinjunction.chain.Engine;
import io.whinjunction.chain.EngineKind;
import io.whinjunction.chain.Hop;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.PathCosts;
import io.whinjunction.chain.PathFinder;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.routing.RoutedService;

/**
 * Chooses where an attempt goes, from what the directory knows.
 * <p>
 * Invariant: what leaves, was tried before by the same request, or names a limit of which
 * this router's part is used up is not chosen to begin with. Confined to the event loop.
 */
final class TargetChooser {

	private final UpstreamDirectory directory;

	private final PeerTable peers;

	private final UpstreamLimits limits;

	private final Map<String, Double> paces;

	private final String failureDomain;

	/**
	 * A chooser.
	 * @param directory the upstreams
	 * @param peers what other routers do and say
	 * @param limits limits that upstreams name
	 * @param paces how much slower than usual engines work, by name, as this router has
	 * found itself; read at each choice
	 * @param failureDomain where this router is
	 */
	TargetChooser(UpstreamDirectory directory, PeerTable peers, UpstreamLimits limits, Map<String, Double> paces,
			String failureDomain) {
		this.limits = limits;
		this.paces = paces;
		this.directory = directory;
		this.peers = peers;
		this.failureDomain = failureDomain;
	}

	/**
	 * Chooses.
	 * @param wish what is needed
	 * @param nowMs the time
	 * @return the target, or empty where nothing can serve the request now
	 */
	Optional<Target> choose(Wish wish, long nowMs) {
		if (wish.service().chained()) {
			return chain(wish, nowMs);
		}
		return (wish.onlyFirst() != null) ? chooseAgain(wish.onlyFirst()) : single(wish, nowMs);
	}

	private Optional<Target> chooseAgain(Set<String> tried) {
		return tried.stream()
			.map(this.directory::find)
			.filter((state) -> state != null && !state.upstream().leaving() && takesMore(state))
			.min(Comparator.comparingInt(UpstreamState::requests))
			.map((state) -> new Target(state.upstream(), List.of()));
	}

	private Optional<Target> single(Wish wish, long nowMs) {
		Set<String> tried = wish.tried();
		Comparator<UpstreamState> order = Comparator
			.comparing((UpstreamState state) -> tried.contains(state.incarnation()))
			.thenComparing((state) -> state.avoided(nowMs))
			.thenComparingInt(UpstreamState::requests)
			.thenComparing((state) -> !state.upstream().failureDomain().equals(this.failureDomain))
			.thenComparing((state) -> state.incarnation());
		return this.directory.active(wish.service().name())
			.stream()
			.filter((state) -> !tried.contains(state.incarnation()) && takesMore(state))
			.min(order)
			.map((state) -> new Target(state.upstream(), List.of()));
	}

	private Optional<Target> chain(Wish wish, long nowMs) {
		Predicate<Engine> mayStart = (engine) -> (wish.onlyFirst() == null || wish.onlyFirst().contains(engine.id()))
				&& this.limits.allows(engine.id());
		return PathFinder
			.find(wish.service().model(), candidates(wish, nowMs), PathFinder.Start.whole(this.failureDomain, mayStart))
			.map(this::target);
	}

	/**
	 * Chooses another path whose first hop stays.
	 * @param wish what is needed
	 * @param first the first hop
	 * @param nowMs the time
	 * @return the whole path, or empty where there is none
	 */
	Optional<List<Hop>> detour(Wish wish, Hop first, long nowMs) {
		List<PathFinder.Candidate> others = candidates(wish, nowMs);
		others.removeIf((candidate) -> candidate.engine().id().equals(first.engine().id()));
		return PathFinder.find(wish.service().model(), others, PathFinder.Start.after(first)).map((rest) -> {
			List<Hop> path = new ArrayList<>(List.of(first));
			path.addAll(rest);
			return path;
		});
	}

	private List<PathFinder.Candidate> candidates(Wish wish, long nowMs) {
		ModelProfile profile = wish.service().model();
		// All routers decide alone and much alike: what this one has just sent to an
		// engine, the others have too, and prompts that all go the same way after a loss
		// are read one after the other.
		int routers = 1 + this.peers.heardLately(nowMs);
		List<PathFinder.Candidate> candidates = new ArrayList<>();
		for (UpstreamState state : this.directory.active(wish.service().name())) {
			EngineKind kind = profile.kinds().get(state.upstream().kind());
			if (state.upstream().held() == null || kind == null || wish.tried().contains(state.incarnation())) {
				continue;
			}
			double usedPart = usedPart(profile, kind, state, nowMs);
			if (!wish.mustFit() || !full(profile, kind, state.upstream().held(), usedPart)) {
				PathCosts.Load load = new PathCosts.Load(usedPart, (double) routers * state.unreadTokens(),
						pace(state, nowMs), state.avoided(nowMs));
				candidates.add(PathCosts.rate(profile, engine(state, kind), load, wish.tokens()));
			}
		}
		return candidates;
	}

	private boolean takesMore(UpstreamState state) {
		return this.limits.allows(state.incarnation());
	}

	private double pace(UpstreamState state, long nowMs) {
		return Math.max(this.paces.getOrDefault(state.incarnation(), 1.0),
				this.peers.paceOf(state.incarnation(), nowMs));
	}

	private static Engine engine(UpstreamState state, EngineKind kind) {
		Upstream upstream = state.upstream();
		return new Engine(state.incarnation(), upstream.address(), upstream.failureDomain(), kind, upstream.held(),
				false);
	}

	private static boolean full(ModelProfile profile, EngineKind kind, LayerRange held, double usedPart) {
		return Congestion.full(usedPart, profile.kvCapacityTokens(kind, held.end() - held.first()));
	}

	/**
	 * The part of an engine's room that requests of all routers take up.
	 * @param profile the model
	 * @param kind the engine's kind
	 * @param state the engine, which holds layers
	 * @param nowMs the time
	 * @return 0 where it is free, 1 and more where it is full
	 */
	double usedPart(ModelProfile profile, EngineKind kind, UpstreamState state, long nowMs) {
		LayerRange held = state.upstream().held();
		double room = profile.kvCapacityTokenLayers(kind, held.end() - held.first());
		double used = state.tokenLayers() + this.peers.tokenLayersAt(state.incarnation(), nowMs);
		return used / Math.max(1, room);
	}

	private Target target(List<Hop> path) {
		UpstreamState first = this.directory.find(path.getFirst().engine().id());
		return new Target(first.upstream(), path);
	}

	/**
	 * What an attempt needs. Immutable.
	 *
	 * @param service the service
	 * @param tokens tokens that the request is expected to take up
	 * @param tried names of upstreams that made the request fail
	 * @param onlyFirst names of the upstreams that it may be sent to; {@code null} for
	 * any
	 * @param mustFit whether it is rather turned away than sent to an engine that is full
	 */
	record Wish(RoutedService service, int tokens, Set<String> tried, Set<String> onlyFirst, boolean mustFit) {
	}

}
