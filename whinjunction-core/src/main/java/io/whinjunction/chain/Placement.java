package io.whinjunction.chain;

import io.whinjunction.configuration.LayerRange;

/**
 * Target layers of an engine. Immutable.
 *
 * @param engine the engine
 * @param layers all layers that it should hold, including those it already holds
 */
public record Placement(Engine engine, LayerRange layers) {
}
