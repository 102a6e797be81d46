package io.whinjunction.router;

import java.util.List;
import java.util.Map;

/**
 * Status that a router sends to its peers. Immutable.
 *
 * @param name the sender's name
 * @param address {@code IP:PORT} at which the sender receives peer messages
 * @param failureDomain the sender's failure domain
 * @param sequence the number of the status query; the answer repeats it
 * @param answer whether this status answers a query
 * @param version the configuration in force at the sender; -1 before the first
 * @param proofAgeMs the age of the sender's newest proof when it wrote this status, in
 * milliseconds; -1 where it has none
 * @param suspects incarnations of engines that do not answer the sender
 * @param tokenLayersByEngine memory of the sender's requests in progress, in tokens times
 * layers, by the engine's incarnation
 * @param routers addresses of other routers from which the sender received a status
 * lately
 * @param leaving whether the sender is about to stop
 * @param paceByEngine slowdown of engines as a multiple of their usual time, by
 * incarnation
 * @param leading whether the sender holds the lease under which layers are ordered
 * @param leaderAgeMs the age of the newest status from the holder of that lease, in
 * milliseconds; -1 where none was received
 * @param list version and age of the sender's list of upstreams
 * @param storeEra the last known era of the platform's store; 0 where the store reports
 * none
 * @param storeReturnAgeMs how long ago the sender learned that the store was restored
 * from an older copy, in milliseconds; -1 where it was not, or long ago
 * @param reach what the sender can do for peers that are cut off from upstreams
 */
record PeerStatus(String name, String address, String failureDomain, long sequence, boolean answer, long version,
		long proofAgeMs, List<String> suspects, Map<String, Long> tokenLayersByEngine, List<String> routers,
		boolean leaving, Map<String, Double> paceByEngine, boolean leading, long leaderAgeMs, UpstreamListState list,
		long storeEra, long storeReturnAgeMs, PeerReach reach) implements PeerMessage {

	PeerStatus {
		suspects = List.copyOf(suspects);
		tokenLayersByEngine = Map.copyOf(tokenLayersByEngine);
		routers = List.copyOf(routers);
		paceByEngine = Map.copyOf(paceByEngine);
	}

	/**
	 * Returns whether the sender accepts requests.
	 * @return {@code false} if it is about to stop or can't check keys
	 */
	boolean serves() {
		return !this.leaving && this.version >= 0 && this.proofAgeMs >= 0;
	}

}
