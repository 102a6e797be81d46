package io.whinjunction.configuration;

import java.util.Set;

/**
 * A site where data may be held. Immutable.
 *
 * @param name its name
 * @param region the region that contains it
 * @param failureDomains the failure domains within it
 */
public record Place(String name, String region, Set<String> failureDomains) {
}
