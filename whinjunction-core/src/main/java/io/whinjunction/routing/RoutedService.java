package io.whinjunction.routing;

import io.whinjunction.chain.ModelProfile;
import io.whinjunction.configuration.LayerRange;

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

	/**
	 * Returns whether an upstream that is listed for this service can serve it.
	 * @param kind the name of its kind of accelerator, or {@code null}
	 * @param held the layers it holds, or {@code null}
	 * @return {@code false} if the service has a model and the upstream is no engine of
	 * it
	 */
	public boolean canUse(String kind, LayerRange held) {
		return !chained() || this.model.engineKind(kind, held) != null;
	}

}
