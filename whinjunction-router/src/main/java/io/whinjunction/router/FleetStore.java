package io.whinjunction.router;

import java.util.List;
import java.util.function.Consumer;

import io.whinjunction.store.StoreVersion;

/**
 * What a router reads and writes in the platform's store. Calls don't block; each reply
 * comes once, on the event loop, at the latest after the call's time limit. A reply of an
 * earlier era of the store is {@link StoreReply.Unavailable}, and one to a question that
 * names a version of an earlier era is {@link StoreReply.Outdated}.
 */
public interface FleetStore {

	/**
	 * The era of the store, as far as its answers and other routers have told.
	 * @return the era, which each answer may bring forward
	 */
	StoreEra era();

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
	 * @param after the version that is known
	 * @param waitMs how long to wait, in milliseconds
	 * @param done takes the reply; no changes where none came
	 */
	void watchUpstreams(StoreVersion after, long waitMs, Consumer<StoreReply<UpstreamChanges>> done);

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
	 * Writes the lease where its version is still the one given.
	 * @param lease what to write, with the version to replace; revision 0 creates it
	 * @param done takes the lease as written
	 */
	void writeLease(LeaseObject lease, Consumer<StoreReply<LeaseObject>> done);

	/**
	 * Reads which requests are refused since they crash upstreams.
	 * @param done takes the names under which they were recorded
	 */
	void readCrashing(Consumer<StoreReply<List<String>>> done);

	/**
	 * Records that a request is refused since it crashes upstreams.
	 * @param name the request
	 * @param done takes the reply; {@link StoreReply.Outdated} where that is recorded
	 * already
	 */
	void recordCrashing(String name, Consumer<StoreReply<Boolean>> done);

	/**
	 * Removes the record of a request that isn't refused any more.
	 * @param name the request
	 * @param done takes the reply; {@link StoreReply.Absent} where there was none
	 */
	void removeCrashing(String name, Consumer<StoreReply<Boolean>> done);

	/**
	 * A configuration from another router. Immutable.
	 *
	 * @param document the configuration
	 * @param proofAgeMs the age of its proof there when it answered, in milliseconds
	 */
	record Fetched(ConfigurationDocument document, long proofAgeMs) {
	}

}
