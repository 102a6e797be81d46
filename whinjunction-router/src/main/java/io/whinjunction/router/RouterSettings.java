package io.whinjunction.router;

import java.net.InetSocketAddress;

/**
 * The settings of a routing process. Immutable.
 *
 * @param name this process
 * @param failureDomain where it runs
 * @param callers where it listens for callers
 * @param ready where the balancer asks whether it takes requests
 * @param peers where it takes messages of other routers
 * @param metrics where its metrics are read, or {@code null}
 * @param bounds the times and counts that it keeps to
 */
public record RouterSettings(String name, String failureDomain, InetSocketAddress callers, InetSocketAddress ready,
		InetSocketAddress peers, InetSocketAddress metrics, Bounds bounds) {

	/**
	 * Times and counts. Immutable.
	 *
	 * @param keysMs after how long a key that was taken away must not work, in
	 * milliseconds
	 * @param configurationMs within which time an accepted configuration must be in
	 * force, in milliseconds
	 * @param graceMs how long this process may take to stop, in milliseconds
	 * @param repeatRatio repeats for each request that all routers may send to a service
	 * @param repeatSlack repeats besides, over all routers in a window
	 * @param repeatWindowMs the window, in milliseconds
	 * @param drainMs how long an upstream that leaves still serves what is sent to it, in
	 * milliseconds
	 */
	public record Bounds(long keysMs, long configurationMs, long graceMs, double repeatRatio, double repeatSlack,
			long repeatWindowMs, long drainMs) {
	}

}
