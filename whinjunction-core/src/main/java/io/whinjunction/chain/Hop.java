package io.whinjunction.chain;

import io.whinjunction.configuration.LayerRange;

/**
 * One engine of a path and the layers that it runs for the request. Immutable.
 *
 * @param engine the engine
 * @param layers the layers it runs, all of which it holds
 */
public record Hop(Engine engine, LayerRange layers) {
}
