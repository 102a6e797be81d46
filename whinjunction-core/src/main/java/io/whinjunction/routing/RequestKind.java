package io.whinjunction.routing;

/**
 * What may be repeated of a route's requests. Immutable.
 */
public enum RequestKind {

	/**
	 * An event stream; it may be repeated only where its route says it can be resumed.
	 */
	STREAMING,

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once for each of the caller's attempts. */
	NON_IDEMPOTENT

}
