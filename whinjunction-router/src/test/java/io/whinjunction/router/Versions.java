package io.whinjunction.router;

import io.whinjunction.store.StoreVersion;

/**
 * Creates versions of a store that was never restored from an older copy. Stateless.
 */
final class Versions {

	private Versions() {
	}

	static StoreVersion v(long revision) {
		return new StoreVersion(0, revision);
	}

}
