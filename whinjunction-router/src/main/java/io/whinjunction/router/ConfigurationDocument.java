package io.whinjunction.router;

import io.whinjunction.routing.RoutingConfiguration;

/**
 * A configuration and the text that it was decoded from. The text is passed on to peers
 * that cannot read the store. Immutable by convention: the array must not be modified.
 *
 * @param configuration the decoded configuration
 * @param text the document as stored
 */
public record ConfigurationDocument(RoutingConfiguration configuration, byte[] text) {
}
