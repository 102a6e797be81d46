package io.whinjunction.chain;

import io.whinjunction.configuration.LayerRange;

/**
 * An engine as it is known now. Immutable.
 *
 * @param id the name of this start of the engine
 * @param address {@code IP:PORT}
 * @param failureDomain where it is
 * @param kind its kind of accelerator
 * @param held the layers it holds, or {@code null}
 * @param leaving whether it takes no new work
 */
public record Engine(String id, String address, String failureDomain, EngineKind kind, LayerRange held,
		boolean leaving) {

	/**
	 * How many layers it holds.
	 * @return 0 where it is empty
	 */
	public int heldLayers() {
		return (this.held != null) ? this.held.end() - this.held.first() : 0;
	}

}
