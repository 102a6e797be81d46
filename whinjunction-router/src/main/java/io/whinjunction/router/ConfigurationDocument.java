package io.whinjunction.router;

import io.whinjunction.routing.RoutingConfiguration;

/**
 * A configuration and the text that it was decoded from, so that it can be handed to a
 * router that can't read it for itself. Immutable by agreement: nobody changes the text.
 *
 * @param configuration the model
 * @param text what the store holds
 */
public record ConfigurationDocument(RoutingConfiguration configuration, byte[] text) {
}
