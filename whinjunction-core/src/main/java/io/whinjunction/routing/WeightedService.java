package io.whinjunction.routing;

/**
 * A service that takes a part of a route's requests. Immutable.
 *
 * @param service the service's name
 * @param weight its part relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {
}
