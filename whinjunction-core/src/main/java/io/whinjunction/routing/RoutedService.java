package io.whinjunction.routing;

import io.whinjunction.chain.ModelProfile;

/**
 * A service that requests are routed to. Immutable.
 *
 * @param name its name
 * @param healthPath the path of its health check
 * @param maxConnections the maximum number of connections that an upstream accepts from
 * all routers together
 * @param model the model that its engines run, or {@code null} for a plain service
 */
public record RoutedService(String name, String healthPath, int maxConnections, ModelProfile model) {

	/**
	 * Returns whether requests run on chains of engines.
	 * @return {@code false} for a plain service
	 */
	public boolean chained() {
		return this.model != null;
	}

}
