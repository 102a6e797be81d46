package io.whinjunction.chain;

import io.whinjunction.configuration.LayerRange;

/**
 * Last known state of an engine. Immutable.
 *
 * @param id the name of the engine, unique for each start
 * @param address {@code IP:PORT}
 * @param failureDomain its failure domain
 * @param kind its kind of accelerator
 * @param held the layers it holds, or {@code null}
 * @param leaving whether it takes no new work
 */
public record Engine(String id, String address, String failureDomain, EngineKind kind, LayerRange held,
		boolean leaving) {

	/**
	 * Returns the number of layers it holds.
	 * @return 0 if it is empty
	 */
	public int heldLayers() {
		return (this.held != null) ? this.held.end() - this.held.first() : 0;
	}

}
