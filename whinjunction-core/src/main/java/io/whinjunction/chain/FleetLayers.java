package io.whinjunction.chain;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.whinjunction.configuration.LayerRange;

/**
 * Which layers of a model the fleet and each failure domain hold for sure, and which of
 * them limits the service.
 * <p>
 * Load pattern: failure domains are repaired one by one, while their requests lean on
 * each other. A layer with one holder in the fleet carries all requests and ends them
 * with that engine.
 * <p>
 * Invariant: an engine whose order is still running counts only for the layers that it
 * holds both before and after the order. Immutable.
 */
final class FleetLayers {

	private final int layers;

	private final LayerRoom fleet;

	private final Map<String, LayerRoom> byDomain;

	private FleetLayers(int layers, LayerRoom fleet, Map<String, LayerRoom> byDomain) {
		this.layers = layers;
		this.fleet = fleet;
		this.byDomain = byDomain;
	}

	/**
	 * Adds up the layers of engines.
	 * @param profile the model
	 * @param engines the engines
	 * @return the view of the fleet
	 */
	static FleetLayers of(ModelProfile profile, Collection<ReportedEngine> engines) {
		List<LayerRoom.Holder> holders = engines.stream()
			.map((engine) -> new LayerRoom.Holder(engine.surelyHolding(), 0))
			.toList();
		Map<String, LayerRoom> byDomain = new TreeMap<>();
		holders.stream()
			.collect(Collectors.groupingBy((holder) -> holder.engine().failureDomain()))
			.forEach((domain, ofDomain) -> byDomain.put(domain, LayerRoom.of(profile, ofDomain)));
		return new FleetLayers(profile.layers(), LayerRoom.of(profile, holders), byDomain);
	}

	/**
	 * Returns the number of holders of each layer in the fleet.
	 * @return a new array by layer
	 */
	int[] holders() {
		int[] holders = new int[this.layers];
		for (int layer = 0; layer < this.layers; layer++) {
			holders[layer] = this.fleet.holders(layer);
		}
		return holders;
	}

	/**
	 * Returns the number of failure domains that have engines.
	 * @return the number, whatever they hold
	 */
	int domains() {
		return this.byDomain.size();
	}

	/**
	 * Returns whether a failure domain holds every layer.
	 * @param domain the failure domain
	 * @return {@code false} if it holds none
	 */
	boolean whole(String domain) {
		LayerRoom room = this.byDomain.get(domain);
		for (int layer = 0; room != null && layer < this.layers; layer++) {
			if (room.holders(layer) == 0) {
				return false;
			}
		}
		return room != null;
	}

	/**
	 * Returns the free room of the weakest layer, which limits the service.
	 * @return tokens
	 */
	long weakestTokens() {
		return (long) this.fleet.freeTokens(this.fleet.weakestLayer());
	}

	/**
	 * Returns the lowest layers in a row that have a single holder.
	 * @return the layers, or empty if all others have several holders or none
	 */
	Optional<LayerRange> singleHolderLayers() {
		int first = 0;
		while (first < this.layers && this.fleet.holders(first) != 1) {
			first++;
		}
		int end = first;
		while (end < this.layers && this.fleet.holders(end) == 1) {
			end++;
		}
		return (end > first) ? Optional.of(new LayerRange(first, end)) : Optional.empty();
	}

}
