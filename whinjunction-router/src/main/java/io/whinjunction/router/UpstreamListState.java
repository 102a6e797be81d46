package io.whinjunction.router;

import io.whinjunction.store.StoreVersion;

/**
 * State of a router's list of upstreams. Immutable.
 *
 * @param version the version of the list; {@link StoreVersion#NONE} before the first list
 * @param changedAt the revision at which the list last changed, of the same era; nothing
 * changed between it and {@code version}
 * @param ageMs how long ago {@code version} was last proved to be the newest, in
 * milliseconds; -1 if unknown
 * @param watching whether the router watches the store for changes
 */
record UpstreamListState(StoreVersion version, long changedAt, long ageMs, boolean watching) {

	/** The state before the first list. */
	static final UpstreamListState NONE = new UpstreamListState(StoreVersion.NONE, 0, -1, false);

}
