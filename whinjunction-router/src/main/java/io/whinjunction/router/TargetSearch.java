package io.whinjunction.router;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.whinjunction.chain.Hop;
import io.whinjunction.forward.RetryObstacle;
import io.whinjunction.forward.RetryPolicy;
import io.whinjunction.reachability.Reachability;
import io.whinjunction.routing.RoutedService;

/**
 * Finds where the next attempt of one request goes: to an upstream, or to a peer that
 * reaches one.
 * <p>
 * Invariants: a request of a peer is not handed on to another one; an upstream that made
 * the request fail is chosen again only for an answer that has begun; all routers that
 * handle a request together choose no more upstreams than its route allows, not counting
 * those that have ended. Confined to the event loop.
 */
final class TargetSearch {

	private final ForwardSession session;

	/**
	 * Creates a search.
	 * @param session the request
	 */
	TargetSearch(ForwardSession session) {
		this.session = session;
	}

	/**
	 * Finds a target. Whoever is cut off from the service has no other way than a peer.
	 * While that is not certain, this router's own paths are the second choice.
	 * @return the target, or empty if there is none now
	 */
	Optional<Target> find() {
		Reachability reachability = router().reachability().of(service());
		if (reachability == Reachability.REACHED) {
			Optional<Target> direct = chooseUpstream();
			return (direct.isPresent() || this.session.relayed()) ? direct : chooseHelper();
		}
		Optional<Target> relay = chooseRelay();
		return (relay.isPresent() || reachability == Reachability.CUT_OFF) ? relay : chooseUpstream();
	}

	// A router that is not cut off has other routers send a request only if one of them
	// is known to be able to.
	private Optional<Target> chooseHelper() {
		if (router().limits().usedUp(service())) {
			return router().relays().chooseSpare(service(), failedAt());
		}
		OptionalLong unconnectedSinceMs = router().reachability().unconnectedSinceMs(service());
		return unconnectedSinceMs.isPresent()
				? router().relays().chooseAnswered(service(), failedAt(), unconnectedSinceMs.getAsLong())
				: Optional.empty();
	}

	private Optional<Target> chooseRelay() {
		if (this.session.relayed()) {
			return Optional.empty();
		}
		Optional<Target> relay = router().relays().choose(service(), failedAt());
		if (relay.isEmpty() && this.session.answerBegun()) {
			// What failed a while ago may work again, and there may be nothing else.
			relay = router().relays().choose(service(), Set.of());
		}
		return relay;
	}

	private Optional<Target> chooseUpstream() {
		TargetChooser.Criteria criteria = criteria(failedAt());
		Optional<Target> target = router().chooser().choose(criteria, router().nowMs());
		if (target.isEmpty() && this.session.answerBegun()) {
			// What failed a while ago may work again, and there may be nothing else.
			Set<String> stillSilent = failedAt().stream()
				.filter(router().engineMonitor()::suspects)
				.collect(Collectors.toUnmodifiableSet());
			target = router().chooser().choose(criteria(stillSilent), router().nowMs());
		}
		if (target.isEmpty() && this.session.answerBegun()) {
			// Where they have ended, another upstream may take their place.
			router().endedUpstreams().look(tried());
		}
		if (target.isEmpty() && this.session.obstacle() != RetryObstacle.NO_UPSTREAM) {
			RequestLog.noTarget(this.session, router().chooser().unusable(criteria, router().nowMs()));
		}
		return target;
	}

	private TargetChooser.Criteria criteria(Set<String> excluded) {
		Set<String> tried = tried();
		boolean again = !allowsFurther(tried.size()) || shareUsed(tried.size());
		return new TargetChooser.Criteria(currentService(), this.session.expectedTokens(), excluded,
				again ? tried : null, !this.session.answerBegun());
	}

	/**
	 * Finds another path for the attempt under way, without the engines that made the
	 * request fail.
	 * @param first the hop that stays
	 * @return the complete path, or empty if there is none
	 */
	Optional<List<Hop>> detour(Hop first) {
		TargetChooser.Criteria criteria = new TargetChooser.Criteria(currentService(), this.session.expectedTokens(),
				failedAt(), null, false);
		return router().chooser().detour(criteria, first, router().nowMs());
	}

	/**
	 * Whether this router relays the request and has sent it to all further upstreams
	 * that it was allowed, although the route allows more.
	 * @return whether the router that has the caller can send it where this one may not
	 */
	boolean leftToOrigin() {
		int tried = tried().size();
		return this.session.relayed() && this.session.origin().allowed() > 0 && shareUsed(tried)
				&& allowsFurther(tried);
	}

	private boolean allowsFurther(int tried) {
		return !RetryPolicy.onlyTriedUpstreams(this.session.route(), tried);
	}

	private boolean shareUsed(int tried) {
		return this.session.relayed()
				&& tried - this.session.origin().tried().size() >= this.session.origin().allowed();
	}

	/**
	 * Describes the request for a relay.
	 * @param waitedMs how long its caller has waited, in milliseconds
	 * @return what the relay has to know beyond the request itself
	 */
	RelayHeaders.Origin forRelay(long waitedMs) {
		Set<String> tried = triedBefore();
		return router().relays()
			.origin(waitedMs, tried, this.session.history().sentAltogether(), allowsFurther(tried.size()));
	}

	// Counts the attempt under way too.
	private Set<String> tried() {
		Set<String> before = triedBefore();
		Attempt attempt = this.session.attempt();
		if (attempt == null || !attempt.sent()) {
			return before;
		}
		return Stream.concat(before.stream(), attempt.upstreams().stream()).collect(Collectors.toUnmodifiableSet());
	}

	// Upstreams that have ended, or that did not run the request, do not count for an
	// answer that has begun.
	private Set<String> triedBefore() {
		AttemptHistory history = this.session.history();
		return this.session.answerBegun() ? history.mayHaveRunAt()
			.stream()
			.filter((incarnation) -> !router().endedUpstreams().ended(incarnation))
			.collect(Collectors.toUnmodifiableSet()) : history.sentTo();
	}

	/**
	 * Returns the upstreams that may have run the request and do not count as those that
	 * its route allows, as they have ended.
	 * @return their incarnations
	 */
	List<String> notCounted() {
		return this.session.answerBegun()
				? this.session.history().ranAt().stream().filter(router().endedUpstreams()::ended).toList() : List.of();
	}

	// A request keeps its route, but engines of a kind that the configuration listed
	// later can serve it too.
	private RoutedService currentService() {
		RoutedService former = this.session.service();
		RoutedService current = router().configuration().service(former.name());
		boolean same = current != null && current.chained() == former.chained();
		return same ? current : former;
	}

	private RouterContext router() {
		return this.session.router();
	}

	private String service() {
		return this.session.service().name();
	}

	private Set<String> failedAt() {
		return this.session.history().failedAt();
	}

}
