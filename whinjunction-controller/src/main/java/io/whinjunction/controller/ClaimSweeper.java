package io.whinjunction.controller;

import java.util.function.LongSupplier;

import io.whinjunction.configuration.Json;
import io.whinjunction.once.ActionName;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Listing;
import io.whinjunction.platform.ObjectStore.StoredObject;
import tools.jackson.core.JacksonException;

/**
 * Removes action claims that are older than the period in which callers retry an action.
 * Confined to one thread.
 */
final class ClaimSweeper {

	/**
	 * Bounds the removals of one round, to leave the platform's write capacity to others.
	 */
	private static final int MAX_REMOVALS_PER_ROUND = 50;

	private final ObjectStore store;

	private final long retentionS;

	private final LongSupplier epochS;

	ClaimSweeper(ObjectStore store, long retentionS, LongSupplier epochS) {
		this.store = store;
		this.retentionS = retentionS;
		this.epochS = epochS;
	}

	/**
	 * Runs one round, which removes at most {@value #MAX_REMOVALS_PER_ROUND} expired
	 * claims.
	 * @return the number of removals that were requested
	 */
	int sweep() {
		if (!(this.store.list(ActionName.PREFIX) instanceof Listing.Objects found)) {
			return 0;
		}
		int removed = 0;
		for (StoredObject object : found.objects()) {
			if (removed < MAX_REMOVALS_PER_ROUND && expired(object)) {
				this.store.remove(object.key(), object.version());
				removed++;
			}
		}
		return removed;
	}

	private boolean expired(StoredObject object) {
		try {
			long createdAtS = Json.MAPPER.readTree(object.value()).path("created-at-s").asLong(Long.MAX_VALUE);
			return this.epochS.getAsLong() - this.retentionS > createdAtS;
		}
		catch (JacksonException ex) {
			return false;
		}
	}

}
