package io.whinjunction.router;

/**
 * How a router knows the list of upstreams. Immutable.
 *
 * @param revision the revision that it has; 0 before the first
 * @param changedAt the revision with which it last changed; from then until
 * {@code revision} nothing did
 * @param ageMs how long ago no later revision was the store's for certain, in
 * milliseconds; -1 where that isn't known
 * @param watching whether it waits at the store for changes
 */
record ListState(long revision, long changedAt, long ageMs, boolean watching) {

	/** Before the first list. */
	static final ListState NONE = new ListState(0, 0, -1, false);

}
