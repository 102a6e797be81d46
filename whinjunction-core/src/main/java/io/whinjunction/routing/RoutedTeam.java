package io.whinjunction.routing;

import java.util.List;

/**
 * A team, as far as routing needs it. Immutable.
 *
 * @param name the name that is sent to upstreams
 * @param keys the keys that its callers may present
 * @param priority the priority of its requests, which overrides that of the route; -1 if
 * the route decides
 */
public record RoutedTeam(String name, List<String> keys, int priority) {
}
