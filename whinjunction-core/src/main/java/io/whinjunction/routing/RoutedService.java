package io.whinjunction.routing;

import io.whinjunction.chain.ModelProfile;

/**
 * A service that requests are routed to. Immutable.
 *
 * @param name its name
 * @param healthPath the path of its health check
 * @param maxConnections the most connections an upstream takes from all routers together
 * @param model how its engines work, or {@code null} for a plain service
 */
public record RoutedService(String name, String healthPath, int maxConnections, ModelProfile model) {

	/**
	 * Whether requests run on chains of engines.
	 * @return {@code false} for a plain service
	 */
	public boolean chained() {
		return this.model != null;
	}

}
