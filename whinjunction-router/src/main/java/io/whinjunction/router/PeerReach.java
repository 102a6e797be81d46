package io.whinjunction.router;

import java.util.List;
import java.util.Map;

/**
 * What a router can do for peers that are cut off from upstreams. Immutable.
 *
 * @param contactAgesMs the services of which it has reached upstreams, with the age of
 * its last contact with one, in milliseconds; {@link #NOT_REACHED} for a service that it
 * does not reach now
 * @param relays whether it sends requests of other routers; an older build does not
 * @param leaseReleaseAgeMs how long ago it released the lease, so that another router has
 * to acquire it, in milliseconds; -1 where it did not, or long ago
 * @param workingEngines incarnations of engines that others reported as silent, and that
 * work as far as the router sees
 * @param answerAgesMs the services whose upstreams answered its requests with success,
 * with the age of the last such answer, in milliseconds
 * @param spareServices the services with upstreams that name limits, of which it has not
 * used up its share
 */
record PeerReach(Map<String, Long> contactAgesMs, boolean relays, long leaseReleaseAgeMs, List<String> workingEngines,
		Map<String, Long> answerAgesMs, List<String> spareServices) {

	/** In place of an age: no upstream of the service is reached now. */
	static final long NOT_REACHED = -1;

	/** The reach of a router that reports none. */
	static final PeerReach NONE = new PeerReach(Map.of(), false, -1, List.of(), Map.of(), List.of());

	PeerReach {
		contactAgesMs = Map.copyOf(contactAgesMs);
		workingEngines = List.copyOf(workingEngines);
		answerAgesMs = Map.copyOf(answerAgesMs);
		spareServices = List.copyOf(spareServices);
	}

	/**
	 * Returns whether the router sends requests of peers to a service.
	 * @param service the service
	 * @return whether it relays requests and reaches the service, as far as it knows
	 */
	boolean relaysTo(String service) {
		return this.relays && this.contactAgesMs.getOrDefault(service, NOT_REACHED) >= 0;
	}

}
