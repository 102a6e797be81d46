package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * The requests that this router hands to peers because it does not reach upstreams, and
 * those that it sends for peers.
 * <p>
 * Each is judged by both routers: the relay checks key, route and limits by its own
 * configuration and refuses requests of a router that has a newer one. A relayed request
 * is never relayed again. A peer whose requests are quiet is queried; if it does not
 * answer, its requests are handed on to others as far as they may be repeated.
 * <p>
 * Invariant: at most {@link #MAX_FOR_PEERS} requests of peers are under way. Confined to
 * the event loop.
 */
final class PeerRelays {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The maximum number of requests of peers under way at a time: each occupies two
	 * connections and their buffers.
	 */
	private static final int MAX_FOR_PEERS = 256;

	/** How long a peer is avoided that could not be reached, in milliseconds. */
	private static final long AVOID_MS = 500;

	/** How long an answer to a peer is taken into account, in milliseconds. */
	private static final long ANSWER_MS = 1000;

	/**
	 * An answer to a peer counts if it is later than the loss of an upstream by this, in
	 * milliseconds: its age is known only up to the delay of the status.
	 */
	private static final long ANSWER_MARGIN_MS = 100;

	/** The interval between checks of quiet requests, in milliseconds. */
	private static final long CHECK_INTERVAL_MS = 100;

	/** How long a request is quiet before its peer is queried, in milliseconds. */
	private static final long QUIET_MS = 200;

	/** How long a queried peer has to send a status, in milliseconds: three queries. */
	private static final long SILENT_MS = 350;

	private final RouterContext router;

	private final String name;

	private final Consumer<String> query;

	/** Requests under way at peers. */
	private final Set<Attempt> attempts = new LinkedHashSet<>();

	/** When the first query without a status since was sent, by address. */
	private final Map<String, Long> unansweredSinceMs = new HashMap<>();

	/** {@code null} while no request is under way at a peer. */
	private ScheduledFuture<?> check;

	private final Map<String, Long> avoidedUntilMs = new HashMap<>();

	/** When an upstream last answered a request with success, by service. */
	private final Map<String, Long> answeredAtMs = new HashMap<>();

	/** When peers last refused a request, by address. */
	private final Map<String, Long> refusedAtMs = new HashMap<>();

	private int forPeers;

	/**
	 * Creates an instance without requests.
	 * @param router the clock, the peers and the configuration
	 * @param name the name of this router
	 * @param query queries the status of the peer at an address
	 */
	PeerRelays(RouterContext router, String name, Consumer<String> query) {
		this.router = router;
		this.name = name;
		this.query = query;
	}

	/**
	 * Chooses a peer. Of two chosen at random, the one with fewer requests of this router
	 * is taken, so that routers that are cut off together spread theirs.
	 * @param service the service of the request
	 * @param excluded the incarnations of peers that did not take the request
	 * @return the peer, or empty if none is known to reach the service
	 */
	Optional<Target> choose(String service, Set<String> excluded) {
		return choose(service, excluded, (status) -> true);
	}

	/**
	 * Chooses a peer although this router is not cut off from the service: one to which
	 * an upstream gave an answer since this router lost its connections to some of them.
	 * Where these have ended, there is none.
	 * @param service the service of the request
	 * @param excluded the incarnations of peers that did not take the request
	 * @param unconnectedSinceMs since when this router can't connect to an upstream
	 * @return the peer, or empty if none is known to have a path
	 */
	Optional<Target> chooseAnswered(String service, Set<String> excluded, long unconnectedSinceMs) {
		long nowMs = this.router.nowMs();
		return choose(service, excluded, (status) -> {
			Long ageMs = status.reach().answerAgesMs().get(service);
			if (ageMs == null) {
				return false;
			}
			long lastAtMs = this.router.peers().statusReceivedAtMs(status.address()) - ageMs;
			return lastAtMs >= unconnectedSinceMs + ANSWER_MARGIN_MS && nowMs - lastAtMs < ANSWER_MS;
		});
	}

	/**
	 * Chooses a peer although this router is not cut off from the service: one that has
	 * not used up its share of the limits of upstreams.
	 * @param service the service of the request
	 * @param excluded the incarnations of peers that did not take the request
	 * @return the peer, or empty if none is known to have a share left
	 */
	Optional<Target> chooseSpare(String service, Set<String> excluded) {
		return choose(service, excluded,
				(status) -> status.reach().spareServices().contains(service)
						&& this.router.peers().statusReceivedAtMs(status.address()) > this.refusedAtMs
							.getOrDefault(status.address(), Long.MIN_VALUE));
	}

	private Optional<Target> choose(String service, Set<String> excluded, Predicate<PeerStatus> mayHelp) {
		long nowMs = this.router.nowMs();
		RoutingConfiguration configuration = this.router.configuration();
		List<Upstream> usable = new ArrayList<>();
		List<Upstream> older = new ArrayList<>();
		for (PeerStatus status : this.router.peers().activeStatuses(nowMs)) {
			if (!status.serves() || !status.reach().relaysTo(service) || !mayHelp.test(status)) {
				continue;
			}
			Upstream peer = Upstream.router(status.name(), status.address(), status.failureDomain());
			if (!excluded.contains(peer.incarnation())
					&& this.avoidedUntilMs.getOrDefault(peer.incarnation(), nowMs) <= nowMs) {
				((status.version() < configuration.version()) ? older : usable).add(peer);
			}
		}
		if (usable.isEmpty()) {
			// They may have read the configuration since their last status.
			usable = older;
		}
		if (usable.isEmpty()) {
			return Optional.empty();
		}
		Upstream one = usable.remove(this.router.random().nextInt(usable.size()));
		Upstream other = usable.isEmpty() ? one : usable.get(this.router.random().nextInt(usable.size()));
		return Optional.of(new Target.Relay((underWay(other) < underWay(one)) ? other : one));
	}

	/**
	 * Records that an upstream answers a request with success.
	 * @param service the service of the request
	 */
	void answered(String service) {
		this.answeredAtMs.put(service, this.router.nowMs());
	}

	/**
	 * Returns the services whose upstreams answered requests with success lately.
	 * @return the age of the last such answer, in milliseconds, by service
	 */
	Map<String, Long> answerAgesMs() {
		long nowMs = this.router.nowMs();
		Map<String, Long> ages = new HashMap<>();
		this.answeredAtMs.forEach((service, atMs) -> ages.put(service, nowMs - atMs));
		ages.values().removeIf((ageMs) -> ageMs >= ANSWER_MS);
		return ages;
	}

	/**
	 * Describes a request of this router for a relay. A relay gets one further upstream
	 * at most: if nothing comes back, no more than that has to be taken as used.
	 * @param waitedMs how long its caller has waited, in milliseconds
	 * @param tried the incarnations of the upstreams that may run it
	 * @param sent how often it was sent to upstreams
	 * @param further whether its route allows a further upstream
	 * @return the description
	 */
	RelayHeaders.Origin origin(long waitedMs, Collection<String> tried, int sent, boolean further) {
		return new RelayHeaders.Origin(this.name, this.router.configuration().version(), waitedMs, tried, sent,
				further ? 1 : 0);
	}

	private long underWay(Upstream peer) {
		return this.attempts.stream()
			.filter((attempt) -> attempt.target().first().incarnation().equals(peer.incarnation()))
			.count();
	}

	/**
	 * Records that a request is handed to a peer.
	 * @param attempt the attempt
	 */
	void began(Attempt attempt) {
		this.attempts.add(attempt);
		schedule();
	}

	/**
	 * Records the end of a request at a peer.
	 * @param attempt the attempt
	 */
	void ended(Attempt attempt) {
		this.attempts.remove(attempt);
	}

	private void schedule() {
		if (this.check == null) {
			this.check = this.router.loop().schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void check() {
		this.check = null;
		long nowMs = this.router.nowMs();
		Set<String> quiet = new HashSet<>();
		for (Attempt attempt : this.attempts) {
			if (attempt.underWay() && nowMs - attempt.progressAtMs() > QUIET_MS) {
				quiet.add(attempt.target().first().address());
			}
		}
		this.unansweredSinceMs.keySet().retainAll(quiet);
		quiet.forEach((address) -> checkPeer(address, nowMs));
		if (!this.attempts.isEmpty()) {
			schedule();
		}
	}

	private void checkPeer(String address, long nowMs) {
		Long sinceMs = this.unansweredSinceMs.get(address);
		if (sinceMs == null || this.router.peers().statusReceivedAtMs(address) >= sinceMs) {
			this.unansweredSinceMs.put(address, nowMs);
		}
		else if (nowMs - sinceMs > SILENT_MS) {
			logger.atWarning().log("event=relay-silent peer=%s silent-ms=%d", address, nowMs - sinceMs);
			for (Attempt attempt : List.copyOf(this.attempts)) {
				if (attempt.target().first().address().equals(address)) {
					attempt.onRelaySilent();
				}
			}
			return;
		}
		this.query.accept(address);
	}

	/**
	 * Records that a peer could not be reached, or did not answer a request.
	 * @param peer the peer
	 */
	void failed(Upstream peer) {
		long nowMs = this.router.nowMs();
		this.avoidedUntilMs.values().removeIf((untilMs) -> untilMs <= nowMs);
		this.avoidedUntilMs.put(peer.incarnation(), nowMs + AVOID_MS);
	}

	/**
	 * Records that a peer refused a request: what its last status says has changed.
	 * @param peer the peer
	 */
	void refused(Upstream peer) {
		long nowMs = this.router.nowMs();
		this.refusedAtMs.values().removeIf((atMs) -> nowMs - atMs > ANSWER_MS);
		this.refusedAtMs.put(peer.address(), nowMs);
	}

	/**
	 * Takes a request of a peer if there is room.
	 * @return whether it is taken; {@link #released()} follows at its end
	 */
	boolean take() {
		if (this.forPeers >= MAX_FOR_PEERS) {
			return false;
		}
		this.forPeers++;
		return true;
	}

	/** Records the end of a request of a peer. */
	void released() {
		this.forPeers--;
	}

	int forPeers() {
		return this.forPeers;
	}

}
