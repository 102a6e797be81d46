package io.whinjunction.router;

import java.util.List;
import java.util.function.Consumer;

/**
 * What a router reads and writes in the platform's store. Calls don't block; each reply
 * comes once, on the event loop, at the latest after the call's time limit.
 */
public interface FleetStore {

	/**
	 * Reads the newest configuration, linearizably.
	 * @param done takes the reply
	 */
	void readConfiguration(Consumer<StoreReply<ConfigurationDocument>> done);

	/**
	 * Reads the newest configuration from another router.
	 * @param peerAddress {@code IP:PORT} where it takes messages
	 * @param done takes the reply
	 */
	void fetchConfiguration(String peerAddress, Consumer<StoreReply<Fetched>> done);

	/**
	 * Lists all upstreams.
	 * @param done takes the reply
	 */
	void listUpstreams(Consumer<StoreReply<UpstreamListing>> done);

	/**
	 * Waits for changes of the upstreams.
	 * @param afterRevision the revision that is known
	 * @param waitMs how long to wait, in milliseconds
	 * @param done takes the reply; no changes where none came
	 */
	void watchUpstreams(long afterRevision, long waitMs, Consumer<StoreReply<UpstreamChanges>> done);

	/**
	 * Says where this router takes messages of others, and hears where they do.
	 * @param name this router
	 * @param address {@code IP:PORT}
	 * @param done takes the addresses of all routers that ever said so
	 */
	void announce(String name, String address, Consumer<StoreReply<List<String>>> done);

	/**
	 * Reads the lease, linearizably.
	 * @param done takes the reply
	 */
	void readLease(Consumer<StoreReply<LeaseObject>> done);

	/**
	 * Writes the lease where its revision is still the one given.
	 * @param lease what to write, with the revision to replace; 0 creates it
	 * @param done takes the lease as written
	 */
	void writeLease(LeaseObject lease, Consumer<StoreReply<LeaseObject>> done);

	/**
	 * A configuration from another router. Immutable.
	 *
	 * @param document the configuration
	 * @param proofAgeMs the age of its proof there when it answered, in milliseconds
	 */
	record Fetched(ConfigurationDocument document, long proofAgeMs) {
	}

}
