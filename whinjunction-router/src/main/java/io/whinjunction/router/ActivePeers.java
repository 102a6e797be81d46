package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The peers from which a status was received lately, with sums of the load that they
 * report for each engine.
 * <p>
 * Load pattern: each request rates every engine that holds layers. Adding up all statuses
 * while an engine is rated would cost routers times engines. With sums that are kept up
 * to date, a rating takes one look-up for each engine, and the cost of a status is
 * proportional to its size.
 * <p>
 * Invariants: peers are ordered by the time of their last status; the sums cover exactly
 * these peers. Confined to the event loop.
 */
final class ActivePeers {

	private final long silentMs;

	private final LinkedHashMap<String, Received> byAddress = new LinkedHashMap<>();

	private final Map<String, Sum> byEngine = new HashMap<>();

	/** Statuses that report slow engines, by the address of the peer; few at any time. */
	private final Map<String, PeerStatus> slowdownReports = new HashMap<>();

	private int listWatchers;

	/**
	 * Creates an instance without peers.
	 * @param silentMs time without a status after which a peer is evicted, in
	 * milliseconds
	 */
	ActivePeers(long silentMs) {
		this.silentMs = silentMs;
	}

	/**
	 * Replaces the last status of a peer.
	 * @param status the status that was received
	 * @param nowMs the time, which never goes back
	 */
	void update(PeerStatus status, long nowMs) {
		remove(status.address());
		this.byAddress.put(status.address(), new Received(status, nowMs));
		status.tokenLayersByEngine()
			.forEach((engineId, tokenLayers) -> this.byEngine.computeIfAbsent(engineId, (id) -> new Sum())
				.add(tokenLayers));
		if (!status.paceByEngine().isEmpty()) {
			this.slowdownReports.put(status.address(), status);
		}
		this.listWatchers += status.list().watching() ? 1 : 0;
	}

	private void remove(String address) {
		Received received = this.byAddress.remove(address);
		if (received != null) {
			subtract(received.status);
		}
	}

	private void subtract(PeerStatus status) {
		this.slowdownReports.remove(status.address());
		this.listWatchers -= status.list().watching() ? 1 : 0;
		status.tokenLayersByEngine().forEach((engineId, tokenLayers) -> {
			Sum sum = this.byEngine.get(engineId);
			sum.subtract(tokenLayers);
			if (sum.reporters == 0) {
				this.byEngine.remove(engineId);
			}
		});
	}

	private void evictSilent(long nowMs) {
		Iterator<Received> oldestFirst = this.byAddress.values().iterator();
		while (oldestFirst.hasNext()) {
			Received received = oldestFirst.next();
			if (nowMs - received.atMs < this.silentMs) {
				return;
			}
			oldestFirst.remove();
			subtract(received.status);
		}
	}

	/**
	 * Counts the active peers.
	 * @param nowMs the time
	 * @return the number of peers from which a status was received lately
	 */
	int count(long nowMs) {
		evictSilent(nowMs);
		return this.byAddress.size();
	}

	/**
	 * Returns whether a peer is active.
	 * @param address the address at which it receives messages
	 * @param nowMs the time
	 * @return whether a status was received from it lately
	 */
	boolean contains(String address, long nowMs) {
		evictSilent(nowMs);
		return this.byAddress.containsKey(address);
	}

	/**
	 * Returns the addresses of the active peers.
	 * @param nowMs the time
	 * @return a copy, ordered from the oldest to the newest status
	 */
	List<String> addresses(long nowMs) {
		evictSilent(nowMs);
		return new ArrayList<>(this.byAddress.keySet());
	}

	/**
	 * Returns the last statuses of the active peers.
	 * @param nowMs the time
	 * @return a copy, ordered from the oldest to the newest status
	 */
	List<PeerStatus> statuses(long nowMs) {
		evictSilent(nowMs);
		return this.byAddress.values().stream().map(Received::status).toList();
	}

	/**
	 * Returns addresses of active peers that are not about to stop.
	 * @param max the maximum number of addresses
	 * @param nowMs the time
	 * @return the peers with the newest statuses, newest first
	 */
	List<String> newestNotLeaving(int max, long nowMs) {
		evictSilent(nowMs);
		List<String> addresses = new ArrayList<>(max);
		Iterator<Received> newestFirst = this.byAddress.sequencedValues().reversed().iterator();
		while (newestFirst.hasNext() && addresses.size() < max) {
			PeerStatus status = newestFirst.next().status;
			if (!status.leaving()) {
				addresses.add(status.address());
			}
		}
		return addresses;
	}

	/**
	 * Returns the memory that requests of the active peers occupy at an engine.
	 * @param engineId the engine's incarnation
	 * @param nowMs the time
	 * @return tokens times layers, according to the last statuses
	 */
	long tokenLayersAt(String engineId, long nowMs) {
		evictSilent(nowMs);
		Sum sum = this.byEngine.get(engineId);
		return (sum != null) ? sum.tokenLayers : 0;
	}

	/**
	 * Counts the active peers that watch the store for changes of the list of upstreams.
	 * @param nowMs the time
	 * @return the number of watchers
	 */
	int listWatchers(long nowMs) {
		evictSilent(nowMs);
		return this.listWatchers;
	}

	/**
	 * Returns the slowdown of an engine as a multiple of its usual time.
	 * @param engineId the engine's incarnation
	 * @param nowMs the time
	 * @return the largest slowdown that any active peer reports; 1 where none does
	 */
	double slowdownOf(String engineId, long nowMs) {
		evictSilent(nowMs);
		double slowdown = 1;
		for (PeerStatus status : this.slowdownReports.values()) {
			slowdown = Math.max(slowdown, status.paceByEngine().getOrDefault(engineId, 1.0));
		}
		return slowdown;
	}

	private record Received(PeerStatus status, long atMs) {
	}

	/** Sum of the load that peers report for one engine. Confined to the event loop. */
	private static final class Sum {

		private long tokenLayers;

		private int reporters;

		void add(long added) {
			this.tokenLayers += added;
			this.reporters++;
		}

		void subtract(long subtracted) {
			this.tokenLayers -= subtracted;
			this.reporters--;
		}

	}

}
