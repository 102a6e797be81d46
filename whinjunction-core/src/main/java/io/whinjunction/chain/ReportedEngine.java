package io.whinjunction.chain;

import java.util.Objects;

import io.whinjunction.configuration.LayerRange;

/**
 * An engine with the layers that it reports, beside those that it was last ordered to
 * hold. Immutable.
 *
 * @param engine the engine; {@link Engine#held()} is what it was last ordered to hold if
 * that order is still running, otherwise what it reports
 * @param reported the layers that it reports, or {@code null}
 */
public record ReportedEngine(Engine engine, LayerRange reported) {

	/**
	 * Returns whether an order to the engine is still running.
	 * @return whether it was ordered to hold other layers than it reports
	 */
	boolean pending() {
		return !Objects.equals(this.engine.held(), this.reported);
	}

	/**
	 * Returns whether a running order loads layers.
	 * @return {@code false} if the engine only gives up layers
	 */
	boolean loading() {
		return pending() && this.engine.heldLayers() > overlap();
	}

	/**
	 * Returns the engine with the layers that it holds before and after a running order.
	 * @return the engine; it holds {@code null} if there are no such layers
	 */
	Engine surelyHolding() {
		if (!pending()) {
			return this.engine;
		}
		LayerRange sure = (overlap() > 0) ? new LayerRange(first(), first() + overlap()) : null;
		return new Engine(this.engine.id(), this.engine.address(), this.engine.failureDomain(), this.engine.kind(),
				sure, this.engine.leaving());
	}

	private int first() {
		return Math.max(this.engine.held().first(), this.reported.first());
	}

	private int overlap() {
		if (this.engine.held() == null || this.reported == null) {
			return 0;
		}
		return Math.max(0, Math.min(this.engine.held().end(), this.reported.end()) - first());
	}

}
