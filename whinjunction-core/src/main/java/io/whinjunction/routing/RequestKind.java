package io.whinjunction.routing;

/**
 * Determines whether a route's requests may be repeated. Immutable.
 */
public enum RequestKind {

	/** An event stream; it may be repeated only if its route is resumable. */
	STREAMING,

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once for each of the caller's attempts. */
	NON_IDEMPOTENT

}
