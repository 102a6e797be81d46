package io.whinjunction.router;

import java.util.List;
import java.util.Map;

/**
 * What a router tells another. Immutable.
 *
 * @param name the sender
 * @param address {@code IP:PORT} that it takes these messages at
 * @param failureDomain where it is
 * @param sequence names the question; the answer repeats it
 * @param answer whether it answers a question
 * @param version the configuration in force there; -1 before the first
 * @param proofAgeMs the age of its newest proof when it wrote this, in milliseconds; -1
 * where it has none
 * @param suspects incarnations of engines that don't answer it
 * @param tokenLayersByEngine memory of its requests in progress, in tokens times layers,
 * by the engine's incarnation
 * @param routers addresses of other routers that it has heard of lately
 * @param leaving whether it is about to stop
 * @param paceByEngine how many times slower than usual engines work, by incarnation
 * @param leading whether it holds the lease under which layers are ordered
 * @param leaderAgeMs the age of the newest word from whoever holds that lease, in
 * milliseconds; -1 where none was heard
 * @param list how it knows the list of upstreams
 * @param storeEra the era of the platform's store, as far as it has heard; 0 where the
 * store says none
 * @param storeReturnAgeMs how long ago it heard that the store has come back from an
 * older copy, in milliseconds; -1 where it didn't, or long ago
 */
record PeerStatus(String name, String address, String failureDomain, long sequence, boolean answer, long version,
		long proofAgeMs, List<String> suspects, Map<String, Long> tokenLayersByEngine, List<String> routers,
		boolean leaving, Map<String, Double> paceByEngine, boolean leading, long leaderAgeMs, UpstreamListState list,
		long storeEra, long storeReturnAgeMs) implements PeerMessage {

	PeerStatus {
		suspects = List.copyOf(suspects);
		tokenLayersByEngine = Map.copyOf(tokenLayersByEngine);
		routers = List.copyOf(routers);
		paceByEngine = Map.copyOf(paceByEngine);
	}

}
