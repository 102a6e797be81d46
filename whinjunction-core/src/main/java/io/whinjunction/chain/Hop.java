package io.whinjunction.chain;

import io.whinjunction.configuration.LayerRange;

/**
 * A part of a path: an engine and the layers that it runs for the request. Immutable.
 *
 * @param engine the engine
 * @param layers the layers it runs, all of which it holds
 */
public record Hop(Engine engine, LayerRange layers) {
}
