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
 * @param suspects addresses of engines that don't answer it
 * @param tokensByEngine tokens of its requests in progress, by the engine's name
 * @param routers addresses of other routers that it has heard of lately
 * @param leaving whether it is about to stop
 */
record PeerStatus(String name, String address, String failureDomain, long sequence, boolean answer, long version,
		long proofAgeMs, List<String> suspects, Map<String, Long> tokensByEngine, List<String> routers,
		boolean leaving) {

	PeerStatus {
		suspects = List.copyOf(suspects);
		tokensByEngine = Map.copyOf(tokensByEngine);
		routers = List.copyOf(routers);
	}

}
