package io.whinjunction.chain;

import io.whinjunction.configuration.LayerRange;

/**
 * Layers that an engine should hold. Immutable.
 *
 * @param engine the engine
 * @param layers all layers that it should hold, those it holds already among them
 */
public record Placement(Engine engine, LayerRange layers) {
}
