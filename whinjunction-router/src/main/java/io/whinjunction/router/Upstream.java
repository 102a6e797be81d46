package io.whinjunction.router;

import io.whinjunction.configuration.LayerRange;

/**
 * An upstream as the platform lists it. Immutable.
 *
 * @param id the name of this start of it
 * @param service the service it belongs to
 * @param address {@code IP:PORT}
 * @param failureDomain where it is
 * @param slots requests that it works on at once
 * @param kind its kind of accelerator, or {@code null} for a plain service
 * @param held the layers it holds, or {@code null}
 * @param leaving whether it takes no new requests
 */
public record Upstream(String id, String service, String address, String failureDomain, int slots, String kind,
		LayerRange held, boolean leaving) {
}
