package io.whinjunction.router;

import java.net.InetSocketAddress;

/**
 * The settings of a router process. Immutable.
 *
 * @param name the name of this process
 * @param failureDomain the failure domain in which it runs
 * @param callers the address at which it listens for callers
 * @param ready the address at which the balancer checks its readiness
 * @param peers the address at which it receives messages of peers
 * @param metrics the address at which its metrics are read, or {@code null}
 * @param maxDescriptors the number of files and sockets that it may open
 * @param bounds its time limits and counts
 */
public record RouterSettings(String name, String failureDomain, InetSocketAddress callers, InetSocketAddress ready,
		InetSocketAddress peers, InetSocketAddress metrics, int maxDescriptors, Bounds bounds) {

	/** Where the settings name no number of descriptors, as most systems allow. */
	public static final int DEFAULT_MAX_DESCRIPTORS = 4096;

	/**
	 * Time limits and counts. Immutable.
	 *
	 * @param keysMs the time after which a revoked key must no longer work, in
	 * milliseconds
	 * @param configurationMs the time within which an accepted configuration must be in
	 * force, in milliseconds
	 * @param graceMs the time that this process may take to stop, in milliseconds
	 * @param repeatRatio the number of repeats per request that all routers together may
	 * send to a service
	 * @param repeatSlack the number of additional repeats of all routers together in a
	 * window
	 * @param repeatWindowMs the length of the window, in milliseconds
	 * @param drainMs how long an upstream that leaves still serves what is sent to it, in
	 * milliseconds
	 */
	public record Bounds(long keysMs, long configurationMs, long graceMs, double repeatRatio, double repeatSlack,
			long repeatWindowMs, long drainMs) {
	}

}
