package io.whinjunction.reachability;

/**
 * What a router knows about its own paths to the upstreams of a service.
 */
public enum Reachability {

	/** Upstreams are reached; one that is not reached is judged alone. */
	REACHED,
	/**
	 * Several upstreams are not reached and none is. Whether the router is cut off from
	 * them or they have ended is not known yet, so they are not judged.
	 */
	DOUBTFUL,
	/**
	 * Another router reaches upstreams, which are therefore not judged by this router.
	 */
	CUT_OFF,
	/** No other router is known to reach upstreams either: they have ended. */
	LOST;

	/**
	 * Returns whether what this router observes is evidence against single upstreams.
	 * @return {@code false} if its own paths may be the reason
	 */
	public boolean judgesUpstreams() {
		return this == REACHED || this == LOST;
	}

}
