package io.whinjunction.router;

import java.util.List;
import java.util.function.Consumer;

import io.whinjunction.store.StoreVersion;

/**
 * The platform's store as a router reads and writes it. Calls do not block. Each reply is
 * delivered exactly once, on the event loop, no later than the call's timeout. A reply of
 * an earlier era of the store is delivered as {@link StoreReply.Unavailable}, and one to
 * a query that names a version of an earlier era as {@link StoreReply.Outdated}.
 */
public interface FleetStore {

	/**
	 * Returns the era of the store as reported by its replies and by peers.
	 * @return the era, which each reply may advance
	 */
	StoreEra era();

	/**
	 * Reads the newest configuration with a linearizable read.
	 * @param done receives the reply
	 */
	void readConfiguration(Consumer<StoreReply<ConfigurationDocument>> done);

	/**
	 * Reads the configuration in force at a peer.
	 * @param peerAddress {@code IP:PORT} at which the peer receives messages
	 * @param done receives the reply
	 */
	void fetchConfiguration(String peerAddress, Consumer<StoreReply<Fetched>> done);

	/**
	 * Lists all upstreams.
	 * @param done receives the reply
	 */
	void listUpstreams(Consumer<StoreReply<UpstreamListing>> done);

	/**
	 * Watches for changes of the upstreams.
	 * @param after the version that the caller has
	 * @param waitMs how long the store may wait for a change, in milliseconds
	 * @param done receives the reply, which is empty if nothing changed
	 */
	void watchUpstreams(StoreVersion after, long waitMs, Consumer<StoreReply<UpstreamChanges>> done);

	/**
	 * Announces the address at which this router receives messages of peers, and reads
	 * theirs.
	 * @param name the name of this router
	 * @param address {@code IP:PORT}
	 * @param done receives the addresses of all routers that ever announced one
	 */
	void announce(String name, String address, Consumer<StoreReply<List<String>>> done);

	/**
	 * Reads the lease with a linearizable read.
	 * @param done receives the reply
	 */
	void readLease(Consumer<StoreReply<LeaseObject>> done);

	/**
	 * Writes the lease if its stored version is still the one given.
	 * @param lease the lease to write, with the version to replace; revision 0 creates it
	 * @param done receives the lease as written
	 */
	void writeLease(LeaseObject lease, Consumer<StoreReply<LeaseObject>> done);

	/**
	 * Reads which requests are refused because they crash upstreams.
	 * @param done receives the names under which they were recorded
	 */
	void readCrashing(Consumer<StoreReply<List<String>>> done);

	/**
	 * Records that a request is refused because it crashes upstreams.
	 * @param name the name of the request
	 * @param done receives the reply; {@link StoreReply.Outdated} if it is already
	 * recorded
	 */
	void recordCrashing(String name, Consumer<StoreReply<Boolean>> done);

	/**
	 * Removes the record of a request that is no longer refused.
	 * @param name the name of the request
	 * @param done receives the reply; {@link StoreReply.Absent} if there was no record
	 */
	void removeCrashing(String name, Consumer<StoreReply<Boolean>> done);

	/**
	 * A configuration read from a peer. Immutable.
	 *
	 * @param document the configuration
	 * @param proofAgeMs the age of its proof at the peer when it responded, in
	 * milliseconds
	 */
	record Fetched(ConfigurationDocument document, long proofAgeMs) {
	}

}
