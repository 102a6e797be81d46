package io.whinjunction.router;

import io.whinjunction.availability.UpstreamNotice;

/**
 * The decoded head of an upstream's response. Immutable.
 *
 * @param requestId the id of the request that it answers, or {@code null}
 * @param status the HTTP status
 * @param notRun whether the upstream guarantees that it has not run the request
 * @param genuine whether a success bears the mark that only the upstream can make and no
 * encoding that the caller did not request
 * @param faultyAddress the upstream on the path that made the request fail, or {@code
 * null}
 * @param keepAliveMs how long the upstream keeps the idle connection, in milliseconds; -1
 * if not given
 * @param limitPerSecond the requests per second that the upstream accepts from all
 * routers together; -1 if it reports no limit
 * @param notice what the upstream states about itself
 */
public record UpstreamHead(String requestId, int status, boolean notRun, boolean genuine, String faultyAddress,
		long keepAliveMs, double limitPerSecond, UpstreamNotice notice) {

	/**
	 * Whether it is a success.
	 * @return {@code true} for 2xx
	 */
	public boolean success() {
		return this.status / 100 == 2;
	}

}
