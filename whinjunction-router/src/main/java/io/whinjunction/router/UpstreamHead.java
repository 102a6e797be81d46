package io.whinjunction.router;

/**
 * What the head of an upstream's response says. Immutable.
 *
 * @param requestId the request that it answers, or {@code null}
 * @param status the HTTP status
 * @param notRun whether the upstream promises that it has not run the request
 * @param genuine whether a success bears the mark that only the upstream can make and no
 * encoding that the caller did not ask for
 * @param faultyAddress the upstream on the path that made it fail, or {@code null}
 * @param keepAliveMs how long the upstream keeps the idle connection, in milliseconds; -1
 * where it doesn't say
 * @param limitPerSecond the requests a second that the upstream takes from all routers
 * together; -1 where it names no limit
 */
public record UpstreamHead(String requestId, int status, boolean notRun, boolean genuine, String faultyAddress,
		long keepAliveMs, double limitPerSecond) {

	/**
	 * Whether it is a success.
	 * @return {@code true} for 2xx
	 */
	public boolean success() {
		return this.status / 100 == 2;
	}

}
