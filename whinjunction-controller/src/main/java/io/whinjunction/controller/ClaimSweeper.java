package io.whinjunction.controller;

import java.util.function.LongSupplier;

import io.whinjunction.configuration.Json;
import io.whinjunction.once.ActionName;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Listing;
import io.whinjunction.platform.ObjectStore.StoredObject;
import tools.jackson.core.JacksonException;

/**
 * Clears claims of actions that are older than callers repeat them. Confined to one
 * thread.
 */
final class ClaimSweeper {

	/** Removes at most so many a round, to leave the platform's writes to others. */
	private static final int MOST_PER_ROUND = 50;

	private final ObjectStore store;

	private final long keptS;

	private final LongSupplier epochS;

	ClaimSweeper(ObjectStore store, long keptS, LongSupplier epochS) {
		this.store = store;
		this.keptS = keptS;
		this.epochS = epochS;
	}

	/**
	 * Clears some.
	 * @return how many were removed
	 */
	int sweep() {
		if (!(this.store.list(ActionName.PREFIX) instanceof Listing.Objects found)) {
			return 0;
		}
		int removed = 0;
		for (StoredObject object : found.objects()) {
			if (removed < MOST_PER_ROUND && old(object)) {
				this.store.remove(object.key(), object.version());
				removed++;
			}
		}
		return removed;
	}

	private boolean old(StoredObject object) {
		try {
			long createdAtS = Json.MAPPER.readTree(object.value()).path("created-at-s").asLong(Long.MAX_VALUE);
			return this.epochS.getAsLong() - this.keptS > createdAtS;
		}
		catch (JacksonException ex) {
			return false;
		}
	}

}
