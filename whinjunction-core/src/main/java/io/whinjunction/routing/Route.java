package io.whinjunction.routing;

import java.util.List;

/**
 * Requests of one host below one path, and how they are handled. Immutable.
 *
 * @param name the name of the route
 * @param host the {@code Host} header that it matches
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind determines whether requests may be repeated
 * @param split the services and their weights; never empty
 * @param limits the time and count limits
 * @param anonymous whether requests need no key
 * @param resumable whether an interrupted stream may resume at another upstream
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, List<WeightedService> split,
		RouteLimits limits, boolean anonymous, boolean resumable) {

	/**
	 * Returns whether a request may run again after it may have run.
	 * @return {@code true} for idempotent requests and resumable streams
	 */
	public boolean repeatable() {
		return switch (this.kind) {
			case IDEMPOTENT -> true;
			case STREAMING -> this.resumable;
			case NON_IDEMPOTENT -> false;
		};
	}

	/**
	 * Selects the service of a request by weight.
	 * @param hash a hash of the request, so that its retries go to the same service
	 * @return the name of the service
	 */
	public String serviceFor(int hash) {
		int total = this.split.stream().mapToInt(WeightedService::weight).sum();
		int point = (total > 0) ? Math.floorMod(hash, total) : 0;
		for (WeightedService weighted : this.split) {
			point -= weighted.weight();
			if (point < 0) {
				return weighted.service();
			}
		}
		return this.split.getFirst().service();
	}

}
