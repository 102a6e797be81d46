package io.whinjunction.router;

import io.whinjunction.store.StoreVersion;

/**
 * How a router knows the list of upstreams. Immutable.
 *
 * @param version the version that it has; {@link StoreVersion#NONE} before the first
 * @param changedAt the revision with which it last changed, of the same era; from then
 * until {@code version} nothing did
 * @param ageMs how long ago no later version was the store's for certain, in
 * milliseconds; -1 where that isn't known
 * @param watching whether it waits at the store for changes
 */
record UpstreamListState(StoreVersion version, long changedAt, long ageMs, boolean watching) {

	/** Before the first list. */
	static final UpstreamListState NONE = new UpstreamListState(StoreVersion.NONE, 0, -1, false);

}
