package io.whinjunction.router;

/**
 * What an upstream states about itself in the head of any of its answers. Immutable.
 *
 * @param leaving whether it is about to stop
 * @param retryAfterMs how long it requests not to be called, in milliseconds; -1 if it
 * requests nothing
 */
public record UpstreamNotice(boolean leaving, long retryAfterMs) {

	/** The notice of an answer that states nothing. */
	public static final UpstreamNotice NONE = new UpstreamNotice(false, -1);

}
