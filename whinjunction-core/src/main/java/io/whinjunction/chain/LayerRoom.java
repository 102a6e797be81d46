package io.whinjunction.chain;

import java.util.Collection;

/**
 * How much room the holders of each layer of a model have for requests.
 * <p>
 * Load pattern: a service carries no more than its weakest layer, whatever room the
 * engines of the other layers have. A layer with a single holder ends the service with
 * that engine.
 * <p>
 * Invariants: a layer that no engine holds has no capacity; used room counts at most up
 * to the capacity of its holder. Immutable.
 */
public final class LayerRoom {

	private final int[] holders;

	private final double[] capacityTokens;

	private final double[] usedTokens;

	private LayerRoom(int layers) {
		this.holders = new int[layers];
		this.capacityTokens = new double[layers];
		this.usedTokens = new double[layers];
	}

	/**
	 * Adds up the room of engines.
	 * @param profile the model
	 * @param engines the engines with their load; those without layers, or with layers
	 * that the model does not have, are skipped
	 * @return the room by layer
	 */
	public static LayerRoom of(ModelProfile profile, Collection<Holder> engines) {
		LayerRoom room = new LayerRoom(profile.layers());
		for (Holder holder : engines) {
			if (holder.engine().held() != null && profile.contains(holder.engine().held())) {
				room.add(profile, holder);
			}
		}
		return room;
	}

	private void add(ModelProfile profile, Holder holder) {
		Engine engine = holder.engine();
		double capacity = profile.kvCapacityTokens(engine.kind(), engine.heldLayers());
		double used = Math.clamp(holder.usedRatio(), 0, 1) * capacity;
		for (int layer = engine.held().first(); layer < engine.held().end(); layer++) {
			this.holders[layer]++;
			this.capacityTokens[layer] += capacity;
			this.usedTokens[layer] += used;
		}
	}

	/**
	 * Returns how many engines hold a layer.
	 * @param layer the layer, from 0
	 * @return the number of holders
	 */
	public int holders(int layer) {
		return this.holders[layer];
	}

	/**
	 * Returns the room of a layer's holders that no request takes.
	 * @param layer the layer, from 0
	 * @return tokens; 0 if no engine holds the layer
	 */
	public double freeTokens(int layer) {
		return this.capacityTokens[layer] - this.usedTokens[layer];
	}

	/**
	 * Returns the layer whose holders have the least free room.
	 * @return the lowest such layer
	 */
	public int weakestLayer() {
		int weakest = 0;
		for (int layer = 1; layer < this.holders.length; layer++) {
			if (freeTokens(layer) < freeTokens(weakest)) {
				weakest = layer;
			}
		}
		return weakest;
	}

	/**
	 * Returns the ratio of the weakest layer's capacity that requests take.
	 * @return from 0 to 1; 1 if no engine holds the layer
	 */
	public double usedRatio() {
		int weakest = weakestLayer();
		return (this.capacityTokens[weakest] > 0) ? this.usedTokens[weakest] / this.capacityTokens[weakest] : 1;
	}

	/**
	 * An engine with its load. Immutable.
	 *
	 * @param engine the engine
	 * @param usedRatio the ratio of its capacity that requests take; 1 or more if it is
	 * full
	 */
	public record Holder(Engine engine, double usedRatio) {
	}

}
