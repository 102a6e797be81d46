package io.whinjunction.router;

import java.util.List;

/**
 * All upstreams at one revision of the store. Immutable.
 *
 * @param upstreams the upstreams
 * @param revision the revision to watch from
 */
public record UpstreamListing(List<Upstream> upstreams, long revision) {
}
