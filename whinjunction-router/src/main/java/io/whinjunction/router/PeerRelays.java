package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.whinjunction.routing.RoutingConfiguration;

/**
 * The requests that this router hands to peers because it does not reach upstreams, and
 * those that it sends for peers.
 * <p>
 * Each is judged by both routers: the relay checks key, route and limits by its own
 * configuration and refuses requests of a router that has a newer one. A relayed request
 * is never relayed again.
 * <p>
 * Invariant: at most {@link #MAX_FOR_PEERS} requests of peers are under way. Confined to
 * the event loop.
 */
final class PeerRelays {

	/**
	 * The maximum number of requests of peers under way at a time: each occupies two
	 * connections and their buffers.
	 */
	private static final int MAX_FOR_PEERS = 256;

	/** How long a peer is avoided that did not take a request, in milliseconds. */
	private static final long AVOID_MS = 500;

	private final RouterContext router;

	private final String name;

	/** Requests under way at peers, by the incarnation of the peer. */
	private final Map<String, Integer> underWay = new HashMap<>();

	private final Map<String, Long> avoidedUntilMs = new HashMap<>();

	private int forPeers;

	/**
	 * Creates an instance without requests.
	 * @param router the clock, the peers and the configuration
	 * @param name the name of this router
	 */
	PeerRelays(RouterContext router, String name) {
		this.router = router;
		this.name = name;
	}

	/**
	 * Chooses a peer. Of two chosen at random, the one with fewer requests of this router
	 * is taken, so that routers that are cut off together spread theirs.
	 * @param service the service of the request
	 * @param excluded the incarnations of peers that did not take the request
	 * @return the peer, or empty if none is known to reach the service
	 */
	Optional<Target> choose(String service, Set<String> excluded) {
		long nowMs = this.router.nowMs();
		RoutingConfiguration configuration = this.router.configuration();
		List<Upstream> usable = new ArrayList<>();
		for (PeerStatus status : this.router.peers().activeStatuses(nowMs)) {
			if (!status.serves() || status.version() < configuration.version() || !status.reach().relaysTo(service)) {
				continue;
			}
			Upstream peer = Upstream.router(status.name(), status.address(), status.failureDomain());
			if (!excluded.contains(peer.incarnation())
					&& this.avoidedUntilMs.getOrDefault(peer.incarnation(), nowMs) <= nowMs) {
				usable.add(peer);
			}
		}
		if (usable.isEmpty()) {
			return Optional.empty();
		}
		Upstream one = usable.remove(this.router.random().nextInt(usable.size()));
		Upstream other = usable.isEmpty() ? one : usable.get(this.router.random().nextInt(usable.size()));
		return Optional.of(new Target.Relay((underWay(other) < underWay(one)) ? other : one));
	}

	/**
	 * Describes a request of this router for a relay.
	 * @param waitedMs how long its caller has waited, in milliseconds
	 * @param tried the incarnations of the upstreams that may run it
	 * @return the description
	 */
	RelayHeaders.Origin origin(long waitedMs, Collection<String> tried) {
		return new RelayHeaders.Origin(this.name, this.router.configuration().version(), waitedMs, tried);
	}

	private int underWay(Upstream peer) {
		return this.underWay.getOrDefault(peer.incarnation(), 0);
	}

	/**
	 * Records that a request is handed to a peer.
	 * @param peer the peer
	 */
	void began(Upstream peer) {
		this.underWay.merge(peer.incarnation(), 1, Integer::sum);
	}

	/**
	 * Records the end of a request at a peer.
	 * @param peer the peer
	 */
	void ended(Upstream peer) {
		this.underWay.computeIfPresent(peer.incarnation(), (id, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Records that a peer did not take a request, or did not answer it.
	 * @param peer the peer
	 */
	void failed(Upstream peer) {
		long nowMs = this.router.nowMs();
		this.avoidedUntilMs.values().removeIf((untilMs) -> untilMs <= nowMs);
		this.avoidedUntilMs.put(peer.incarnation(), nowMs + AVOID_MS);
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
