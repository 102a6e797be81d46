package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The routers that were heard lately, and what they say of engines, summed up.
 * <p>
 * The load it answers: each request rates every engine that holds layers. Adding up what
 * each router says while an engine is rated would grow with routers times engines; kept
 * as sums it takes one look-up an engine, and a message costs as much as it says.
 * <p>
 * Invariants: the routers stand in the order in which they were heard; the sums are those
 * of exactly these routers. Confined to the event loop.
 */
final class HeardRouters {

	private final long silentMs;

	private final LinkedHashMap<String, Heard> byAddress = new LinkedHashMap<>();

	private final Map<String, Sum> byEngine = new HashMap<>();

	/** The few that say of engines that they are slow. */
	private final Map<String, PeerStatus> tellingPaces = new HashMap<>();

	private int listWatchers;

	/**
	 * Nobody was heard yet.
	 * @param silentMs after how long a router that wasn't heard is left out, in
	 * milliseconds
	 */
	HeardRouters(long silentMs) {
		this.silentMs = silentMs;
	}

	/**
	 * Takes what a router said in place of what it said before.
	 * @param status what it said
	 * @param nowMs the time, which never goes back
	 */
	void heard(PeerStatus status, long nowMs) {
		remove(status.address());
		this.byAddress.put(status.address(), new Heard(status, nowMs));
		status.tokenLayersByEngine()
			.forEach((engineId, tokenLayers) -> this.byEngine.computeIfAbsent(engineId, (id) -> new Sum())
				.add(tokenLayers));
		if (!status.paceByEngine().isEmpty()) {
			this.tellingPaces.put(status.address(), status);
		}
		this.listWatchers += status.list().watching() ? 1 : 0;
	}

	private void remove(String address) {
		Heard heard = this.byAddress.remove(address);
		if (heard != null) {
			takeBack(heard.status);
		}
	}

	private void takeBack(PeerStatus status) {
		this.tellingPaces.remove(status.address());
		this.listWatchers -= status.list().watching() ? 1 : 0;
		status.tokenLayersByEngine().forEach((engineId, tokenLayers) -> {
			Sum sum = this.byEngine.get(engineId);
			sum.takeBack(tokenLayers);
			if (sum.tellers == 0) {
				this.byEngine.remove(engineId);
			}
		});
	}

	private void leaveOutSilent(long nowMs) {
		Iterator<Heard> oldestFirst = this.byAddress.values().iterator();
		while (oldestFirst.hasNext()) {
			Heard heard = oldestFirst.next();
			if (nowMs - heard.atMs < this.silentMs) {
				return;
			}
			oldestFirst.remove();
			takeBack(heard.status);
		}
	}

	/**
	 * How many there are.
	 * @param nowMs the time
	 * @return routers that were heard lately
	 */
	int count(long nowMs) {
		leaveOutSilent(nowMs);
		return this.byAddress.size();
	}

	/**
	 * Whether a router is among them.
	 * @param address where it takes messages
	 * @param nowMs the time
	 * @return whether it was heard lately
	 */
	boolean contains(String address, long nowMs) {
		leaveOutSilent(nowMs);
		return this.byAddress.containsKey(address);
	}

	/**
	 * Their addresses.
	 * @param nowMs the time
	 * @return a copy, those that were heard first in front
	 */
	List<String> addresses(long nowMs) {
		leaveOutSilent(nowMs);
		return new ArrayList<>(this.byAddress.keySet());
	}

	/**
	 * Addresses of routers that stay.
	 * @param most how many at most
	 * @param nowMs the time
	 * @return those that were heard last
	 */
	List<String> newestStaying(int most, long nowMs) {
		leaveOutSilent(nowMs);
		List<String> addresses = new ArrayList<>(most);
		Iterator<Heard> newestFirst = this.byAddress.sequencedValues().reversed().iterator();
		while (newestFirst.hasNext() && addresses.size() < most) {
			PeerStatus status = newestFirst.next().status;
			if (!status.leaving()) {
				addresses.add(status.address());
			}
		}
		return addresses;
	}

	/**
	 * Memory that their requests take up at an engine.
	 * @param engineId the engine's incarnation
	 * @param nowMs the time
	 * @return tokens times layers, by what they said last
	 */
	long tokenLayersAt(String engineId, long nowMs) {
		leaveOutSilent(nowMs);
		Sum sum = this.byEngine.get(engineId);
		return (sum != null) ? sum.tokenLayers : 0;
	}

	/**
	 * How many of them wait at the store for changes of the list of upstreams.
	 * @param nowMs the time
	 * @return the number
	 */
	int listWatchers(long nowMs) {
		leaveOutSilent(nowMs);
		return this.listWatchers;
	}

	/**
	 * How much slower than usual an engine works.
	 * @param engineId the engine's incarnation
	 * @param nowMs the time
	 * @return the most that any of them says; 1 where none says that it is slow
	 */
	double paceOf(String engineId, long nowMs) {
		leaveOutSilent(nowMs);
		double pace = 1;
		for (PeerStatus status : this.tellingPaces.values()) {
			pace = Math.max(pace, status.paceByEngine().getOrDefault(engineId, 1.0));
		}
		return pace;
	}

	private record Heard(PeerStatus status, long atMs) {
	}

	/** What some routers say of one engine; confined to the table. */
	private static final class Sum {

		private long tokenLayers;

		private int tellers;

		void add(long more) {
			this.tokenLayers += more;
			this.tellers++;
		}

		void takeBack(long less) {
			this.tokenLayers -= less;
			this.tellers--;
		}

	}

}
