package io.whinjunction.routing;

/**
 * A service that receives a share of a route's requests. Immutable.
 *
 * @param service the name of the service
 * @param weight its share relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {
}
