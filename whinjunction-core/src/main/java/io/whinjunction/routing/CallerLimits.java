package io.whinjunction.routing;

/**
 * Limits on what a caller may send and how long it may take. Immutable.
 *
 * @param maxHeaderBytes the largest request head, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param headerTimeoutMs how long a request head may take to arrive, in milliseconds
 * @param idleTimeoutMs how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** Limits until a configuration is loaded: the usual sizes of HTTP servers. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

}
