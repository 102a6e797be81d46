package io.whinjunction.router;

import java.util.List;

/**
 * Changes of the list of upstreams. Immutable.
 *
 * @param changed upstreams that are new or have changed
 * @param removed names of those that are gone
 * @param revision the revision to go on from
 */
public record UpstreamChanges(List<Upstream> changed, List<String> removed, long revision) {
}
