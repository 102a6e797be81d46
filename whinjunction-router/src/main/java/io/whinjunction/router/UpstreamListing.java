package io.whinjunction.router;

import java.util.List;

import io.whinjunction.store.StoreVersion;

/**
 * All upstreams at one version of the store. Immutable.
 *
 * @param upstreams the upstreams
 * @param version the version from which to watch for changes
 */
public record UpstreamListing(List<Upstream> upstreams, StoreVersion version) {
}
