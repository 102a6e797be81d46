package io.whinjunction.routing;

import java.util.List;

/**
 * Requests of one host below one path, and how they are treated. Immutable.
 *
 * @param name the route's name
 * @param host the {@code Host} header it answers to
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param split the services and their weights; never empty
 * @param limits times and counts
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may go on at another upstream
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, List<WeightedService> split,
		RouteLimits limits, boolean anonymous, boolean resumable) {

	/**
	 * Whether a request may run again after it may have run.
	 * @return {@code true} for idempotent requests and streams that can be resumed
	 */
	public boolean repeatable() {
		return switch (this.kind) {
			case IDEMPOTENT -> true;
			case STREAMING -> this.resumable;
			case NON_IDEMPOTENT -> false;
		};
	}

	/**
	 * The service for a request.
	 * @param hash a hash of the request, so that its retries keep the service
	 * @return the service's name
	 */
	public String serviceFor(int hash) {
		int total = this.split.stream().mapToInt(WeightedService::weight).sum();
		int point = (total > 0) ? Math.floorMod(hash, total) : 0;
		for (WeightedService part : this.split) {
			point -= part.weight();
			if (point < 0) {
				return part.service();
			}
		}
		return this.split.getFirst().service();
	}

}
