package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Table of the peers: which ones exist, the last status of each, and which to query next.
 * <p>
 * The exchange prevents three failures: a router that is cut off from the store loses the
 * proof of its configuration, although a peer can supply one; routers that count only
 * their own requests overload an engine that they share; and each router has to detect a
 * dead engine anew. A proof obtained through a peer is safe by order alone, without
 * synchronized clocks: the peer wrote its answer after the query was sent, so a proof
 * with the reported {@code age} dates from the time of the query minus {@code age} at the
 * earliest.
 * <p>
 * Not thread-safe: confined to the event loop.
 */
final class PeerTable {

	/**
	 * Time without a status after which a peer is considered silent, in milliseconds.
	 */
	static final long SILENT_MS = 1500;

	/**
	 * Time without a status after which a peer loses its place to another, in
	 * milliseconds. In a large fleet a status of each peer arrives every few seconds.
	 */
	private static final long PLACE_TIMEOUT_MS = 20_000;

	/**
	 * Time without a status after which a peer is forgotten, in milliseconds, unless this
	 * router is cut off itself. Until then it counts for shares.
	 */
	private static final long RETENTION_MS = 60_000;

	/**
	 * Time within which a status of each peer arrives also in a large fleet, in
	 * milliseconds.
	 */
	private static final long HEARD_MS = RETENTION_MS / 2;

	/**
	 * The number of peers from which a router receives a status before they count as
	 * silent: answers to its own queries and the queries of peers.
	 */
	private static final double MAX_ACTIVE_PEERS = 2.0 * PeerLink.FANOUT * SILENT_MS / PeerLink.PERIOD_MS;

	/** A silent peer is queried on average in one out of this number of periods. */
	private static final int SILENT_QUERY_PERIODS = 4;

	/** Bounds the size of a status regardless of the size of the fleet. */
	private static final int MAX_ADVERTISED_PEERS = 8;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final String self;

	private final RandomGenerator random;

	private final Map<String, Peer> byAddress = new HashMap<>();

	private final ActivePeers active = new ActivePeers(SILENT_MS);

	/** Times at which queries were sent, by their numbers; oldest first. */
	private final LinkedHashMap<Long, Long> sentAtMs = new LinkedHashMap<>();

	private long sequence;

	/** When the newest query that a peer answered was sent, on the clock of proofs. */
	private long answeredQuerySentMs = NEVER_MS;

	/** Whether the routers that announced themselves were read from the store. */
	private boolean listed;

	private long leaderSeenAtMs = NEVER_MS;

	private long leaderLeftAtMs = NEVER_MS;

	/**
	 * Creates a table without peers.
	 * @param self this router's own address, which is never queried
	 * @param random the source of randomness
	 */
	PeerTable(String self, RandomGenerator random) {
		this.self = self;
		this.random = random;
	}

	/**
	 * Adds addresses of possible peers.
	 * @param addresses the addresses; this router's own is ignored
	 */
	void addAddresses(List<String> addresses) {
		for (String address : addresses) {
			if (!address.equals(this.self)) {
				this.byAddress.computeIfAbsent(address, (ignored) -> new Peer());
			}
		}
	}

	/**
	 * Adds the routers that announced themselves in the store.
	 * @param addresses their addresses; this router's own is ignored
	 */
	void addListed(List<String> addresses) {
		this.listed = true;
		addAddresses(addresses);
	}

	/**
	 * Registers a status query that is about to be sent.
	 * @param bootMs the time, on the clock of proofs
	 * @return the number of the query
	 */
	long startQuery(long bootMs) {
		this.sequence++;
		this.sentAtMs.put(this.sequence, bootMs);
		while (bootMs - this.sentAtMs.firstEntry().getValue() > RETENTION_MS) {
			this.sentAtMs.pollFirstEntry();
		}
		return this.sequence;
	}

	/**
	 * Records the status of a peer.
	 * @param status the status that was received
	 * @param nowMs the time
	 */
	void update(PeerStatus status, long nowMs) {
		if (status.address().equals(this.self)) {
			return;
		}
		Peer peer = this.byAddress.computeIfAbsent(status.address(), (ignored) -> new Peer());
		peer.status = status;
		peer.receivedAtMs = nowMs;
		this.active.update(status, nowMs);
		if (status.answer()) {
			this.answeredQuerySentMs = Math.max(this.answeredQuerySentMs,
					this.sentAtMs.getOrDefault(status.sequence(), NEVER_MS));
		}
		updateLeader(status, nowMs);
		addAddresses(status.routers());
	}

	/**
	 * Returns the time for which the proof in an answer holds.
	 * @param status the answer
	 * @return the time on the clock of proofs, or {@link Long#MIN_VALUE} where it proves
	 * nothing
	 */
	long provedAtMs(PeerStatus status) {
		return heldAtMs(status, status.proofAgeMs());
	}

	/**
	 * Returns the time at which a peer's list of upstreams was certainly the newest,
	 * according to its answer.
	 * @param status the answer
	 * @return the time on the clock of proofs, or {@link Long#MIN_VALUE} where it proves
	 * nothing
	 */
	long listProvedAtMs(PeerStatus status) {
		return heldAtMs(status, status.list().ageMs());
	}

	/**
	 * Returns whether a peer answered a query of this router.
	 * @param sentMs the earliest time at which the query was sent, on the clock of proofs
	 * @return whether an answer to such a query was received
	 */
	boolean answeredSince(long sentMs) {
		return this.answeredQuerySentMs >= sentMs;
	}

	private long heldAtMs(PeerStatus status, long ageMs) {
		Long sentMs = status.answer() ? this.sentAtMs.get(status.sequence()) : null;
		return (sentMs == null || ageMs < 0) ? Long.MIN_VALUE : sentMs - ageMs;
	}

	/**
	 * Chooses peers to query.
	 * @param max the maximum number of active peers
	 * @param nowMs the time
	 * @return addresses of active peers, and in one period of four, or without active
	 * peers, that of a silent peer, so that the end of a network partition is detected
	 */
	List<String> targets(int max, long nowMs) {
		List<String> active = this.active.addresses(nowMs);
		List<String> targets = new ArrayList<>(max + 1);
		while (targets.size() < max && !active.isEmpty()) {
			targets.add(removeRandom(active));
		}
		if (targets.isEmpty() || this.random.nextInt(SILENT_QUERY_PERIODS) == 0) {
			List<String> silent = silent(nowMs);
			if (!silent.isEmpty()) {
				targets.add(removeRandom(silent));
			}
		}
		return targets;
	}

	// Replaces the removed element by the last one, so that no elements are shifted.
	private String removeRandom(List<String> addresses) {
		String last = addresses.removeLast();
		int index = this.random.nextInt(addresses.size() + 1);
		return (index == addresses.size()) ? last : addresses.set(index, last);
	}

	/**
	 * Chooses peers at random from which no status was received lately.
	 * @param max the maximum number of peers
	 * @param nowMs the time
	 * @return addresses
	 */
	List<String> silent(int max, long nowMs) {
		List<String> silent = silent(nowMs);
		List<String> chosen = new ArrayList<>(max);
		while (chosen.size() < max && !silent.isEmpty()) {
			chosen.add(removeRandom(silent));
		}
		return chosen;
	}

	private List<String> silent(long nowMs) {
		List<String> silent = new ArrayList<>();
		for (String address : this.byAddress.keySet()) {
			if (!this.active.contains(address, nowMs)) {
				silent.add(address);
			}
		}
		return silent;
	}

	/**
	 * Counts the peers from which a status was received lately.
	 * @param nowMs the time
	 * @return the number, without this router
	 */
	int activeCount(long nowMs) {
		return this.active.count(nowMs);
	}

	/**
	 * Returns when the last status of a peer was received.
	 * @param address the address at which the peer receives messages
	 * @return the time; {@link Long#MIN_VALUE} if none was received
	 */
	long statusReceivedAtMs(String address) {
		Peer peer = this.byAddress.get(address);
		return (peer != null && peer.status != null) ? peer.receivedAtMs : Long.MIN_VALUE;
	}

	/**
	 * Returns the last statuses of the active peers.
	 * @param nowMs the time
	 * @return a copy
	 */
	List<PeerStatus> activeStatuses(long nowMs) {
		return this.active.statuses(nowMs);
	}

	/**
	 * Counts the peers that a caller may reach whose request this router rejects: those
	 * of the same failure domain, or all peers where it has no others. In a large fleet
	 * the number of known peers is scaled by the ratio of peers whose status can arrive
	 * before they count as silent.
	 * @param failureDomain the failure domain of this router
	 * @param nowMs the time
	 * @return the number of known peers and of those that serve
	 */
	ReachablePeers reachablePeers(String failureDomain, long nowMs) {
		List<Peer> known = this.byAddress.values().stream().filter((peer) -> peer.status != null).toList();
		List<Peer> near = known.stream().filter((peer) -> peer.status.failureDomain().equals(failureDomain)).toList();
		List<Peer> reachable = near.isEmpty() ? known : near;
		long serving = reachable.stream().filter((peer) -> serves(peer, nowMs)).count();
		double activeRatio = Math.min(1, MAX_ACTIVE_PEERS / Math.max(1, this.byAddress.size()));
		return new ReachablePeers((int) Math.round(reachable.size() * activeRatio), (int) serving);
	}

	private static boolean serves(Peer peer, long nowMs) {
		return active(peer, nowMs) && peer.status.serves();
	}

	/**
	 * Estimates the memory that requests of peers occupy at an engine.
	 * <p>
	 * Load pattern: in a large fleet, a router receives the status of only some peers
	 * before the rest counts as silent. The sum over the active peers alone would make an
	 * engine look emptier than it is. Peers whose status can't have arrived in time are
	 * assumed to resemble the active ones.
	 * @param engineId the engine's incarnation
	 * @param nowMs the time
	 * @return tokens times layers, extrapolated from the last statuses
	 */
	long tokenLayersAt(String engineId, long nowMs) {
		double scale = Math.max(1, this.byAddress.size() / MAX_ACTIVE_PEERS);
		return (long) (this.active.tokenLayersAt(engineId, nowMs) * scale);
	}

	/**
	 * Estimates how many peers watch the store for changes of the list of upstreams.
	 * @param nowMs the time
	 * @return the number, where silent peers are assumed to resemble the active ones; 0
	 * without active peers
	 */
	double listWatchers(long nowMs) {
		int count = this.active.count(nowMs);
		return (count > 0) ? (double) this.active.listWatchers(nowMs) * this.byAddress.size() / count : 0;
	}

	private void updateLeader(PeerStatus status, long nowMs) {
		if (status.reach().leaseReleaseAgeMs() >= 0) {
			this.leaderLeftAtMs = Math.max(this.leaderLeftAtMs, nowMs - status.reach().leaseReleaseAgeMs());
		}
		if (status.leading() && status.leaving()) {
			// The lease is released: another router has to acquire it at once, even if
			// peers still relay the leader's earlier statuses.
			this.leaderLeftAtMs = nowMs;
		}
		else if (status.leading()) {
			this.leaderSeenAtMs = nowMs;
		}
		else if (status.leaderAgeMs() >= 0) {
			this.leaderSeenAtMs = Math.max(this.leaderSeenAtMs, nowMs - status.leaderAgeMs());
		}
	}

	/**
	 * Returns the age of the newest status from the holder of the lease.
	 * @param nowMs the time
	 * @return milliseconds; -1 where none is younger than {@link #SILENT_MS}
	 */
	long leaderAgeMs(long nowMs) {
		return hasLeader(nowMs) ? nowMs - this.leaderSeenAtMs : -1;
	}

	/**
	 * Returns whether a peer is known to hold the lease, by its own recent status or by
	 * one that other peers relay.
	 * <p>
	 * Load pattern: before a peer counts as silent, a router of a large fleet receives
	 * the status of only some peers, seldom of the holder itself. Without relayed reports
	 * it would read the lease again and again.
	 * @param nowMs the time
	 * @return whether this router does not need to check the lease
	 */
	boolean hasLeader(long nowMs) {
		return nowMs - this.leaderSeenAtMs < SILENT_MS && this.leaderSeenAtMs > this.leaderLeftAtMs;
	}

	/**
	 * Returns the slowdown of an engine as reported by the peer that monitors the
	 * engines.
	 * @param engineId the engine's incarnation
	 * @param nowMs the time
	 * @return the multiple of the engine's usual time; 1 where no peer reports a slowdown
	 */
	double slowdownOf(String engineId, long nowMs) {
		return this.active.slowdownOf(engineId, nowMs);
	}

	/**
	 * Counts the routers that share a common limit: all that are known by address,
	 * including silent ones, since a router that is cut off must not take over the shares
	 * of the others.
	 * @param nowMs the time
	 * @return the number, including this router
	 */
	int routerCount(long nowMs) {
		if (hearsMost(nowMs)) {
			this.byAddress.values().removeIf((peer) -> peer.status != null && nowMs - peer.receivedAtMs > RETENTION_MS);
		}
		return 1 + this.byAddress.size();
	}

	/**
	 * Counts the routers that divide a common bound. Before the list of routers was read,
	 * a router would take the shares of those that it does not know.
	 * @param nowMs the time
	 * @return the number, including this router; 0 if it is not known yet
	 */
	int sharingRouters(long nowMs) {
		return this.listed ? routerCount(nowMs) : 0;
	}

	// Whoever no longer hears most of the others is cut off: they go on without it, and
	// use their shares.
	private boolean hearsMost(long nowMs) {
		int known = 1;
		int heard = 1;
		for (Peer peer : this.byAddress.values()) {
			known += (peer.status != null) ? 1 : 0;
			heard += (peer.status != null && nowMs - peer.receivedAtMs < HEARD_MS) ? 1 : 0;
		}
		return 3 * heard >= 2 * known;
	}

	/**
	 * Returns whether this router is responsible for a task that only one router should
	 * perform. Routers with different sets of peers may choose two.
	 * @param key identifies the task
	 * @param nowMs the time
	 * @return whether no other router that keeps its place is nearer to the key
	 */
	boolean nearestTo(long key, long nowMs) {
		return countNearer(key, nowMs) == 0;
	}

	private long countNearer(long key, long nowMs) {
		int own = distance(this.self, key);
		return this.byAddress.entrySet()
			.stream()
			.filter((peer) -> keepsPlace(peer.getValue(), nowMs) && distance(peer.getKey(), key) < own)
			.count();
	}

	private static boolean keepsPlace(Peer peer, long nowMs) {
		return peer.status != null && nowMs - peer.receivedAtMs < PLACE_TIMEOUT_MS;
	}

	/**
	 * Returns this router's share of a task that only a few routers perform. Routers that
	 * are gone lose their place to others. The share of each stays the same, so that a
	 * router without active peers does not take all of it.
	 * @param key identifies the task
	 * @param max the maximum number of routers that perform the task
	 * @param nowMs the time
	 * @return the share of each of these routers; 0 where this router is not among them
	 */
	double shareOf(long key, int max, long nowMs) {
		// Before the list of routers was read, there may be as many as can share the
		// task.
		int performers = this.listed ? Math.min(max, routerCount(nowMs)) : max;
		return (countNearer(key, nowMs) < performers) ? 1.0 / performers : 0;
	}

	private static int distance(String address, long key) {
		return (address + key).hashCode() & Integer.MAX_VALUE;
	}

	/**
	 * Returns addresses of active peers to send to other peers.
	 * @param nowMs the time
	 * @return the peers with the newest statuses, without those about to stop
	 */
	List<String> advertisedAddresses(long nowMs) {
		return this.active.newestNotLeaving(MAX_ADVERTISED_PEERS, nowMs);
	}

	private static boolean active(Peer peer, long nowMs) {
		return peer.status != null && nowMs - peer.receivedAtMs < SILENT_MS;
	}

	/**
	 * Number of peers that a rejected caller may reach. Immutable.
	 *
	 * @param known the number of known peers
	 * @param serving how many of them accept requests, according to their last statuses
	 */
	record ReachablePeers(int known, int serving) {

		/**
		 * Returns whether a caller that this router rejects reaches one that serves.
		 * <p>
		 * A load balancer that has less than half of the processes of a failure domain
		 * left sends requests to all of them again, including those that are stopping or
		 * gone. If these rejected drafts too, some callers would reach no router at all.
		 * @return whether at least half of all routers serve, this one counted as not
		 * serving
		 */
		boolean suffice() {
			return this.serving > 0 && 2 * this.serving >= this.known + 1;
		}

	}

	/** A peer that is known by its address. Confined to the table. */
	private static final class Peer {

		private PeerStatus status;

		private long receivedAtMs;

	}

}
