package io.whinjunction.routing;

import java.util.List;

/**
 * A team as routing sees it. Immutable.
 *
 * @param name the name that upstreams are told
 * @param keys the keys its callers may present
 * @param priority the rank of its requests, which goes before the route's; -1 where the
 * route decides
 */
public record RoutedTeam(String name, List<String> keys, int priority) {
}
