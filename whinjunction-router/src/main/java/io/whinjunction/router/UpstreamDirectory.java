package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * All upstreams that this process knows.
 * <p>
 * Invariants: an upstream that was gone or leaving is never used again under the same
 * name, since a list that is read late may still show it as it was. Confined to the event
 * loop.
 */
final class UpstreamDirectory {

	private final Map<String, UpstreamState> byId = new HashMap<>();

	private final Map<String, UpstreamState> byAddress = new HashMap<>();

	private final Consumer<Upstream> left;

	/**
	 * A directory.
	 * @param left hears of each upstream that leaves or is gone
	 */
	UpstreamDirectory(Consumer<Upstream> left) {
		this.left = left;
	}

	/**
	 * Takes a whole list; what is not in it is gone.
	 * @param upstreams the list
	 */
	void replace(List<Upstream> upstreams) {
		Set<String> listed = new HashSet<>();
		upstreams.forEach((upstream) -> listed.add(upstream.id()));
		for (String id : List.copyOf(this.byId.keySet())) {
			if (!listed.contains(id)) {
				remove(id);
			}
		}
		upstreams.forEach(this::put);
	}

	/**
	 * Takes changes.
	 * @param changes the changes
	 */
	void change(UpstreamChanges changes) {
		changes.removed().forEach(this::remove);
		changes.changed().forEach(this::put);
	}

	private void put(Upstream upstream) {
		UpstreamState state = this.byId.computeIfAbsent(upstream.id(), (id) -> new UpstreamState(upstream));
		boolean leftNow = upstream.leaving() && !state.upstream().leaving();
		state.update(upstream);
		this.byAddress.put(upstream.address(), state);
		if (leftNow) {
			this.left.accept(upstream);
		}
	}

	private void remove(String id) {
		UpstreamState state = this.byId.remove(id);
		if (state != null) {
			this.byAddress.remove(state.upstream().address(), state);
			this.left.accept(state.upstream());
		}
	}

	/**
	 * An upstream by name.
	 * @param id the name
	 * @return its state, or {@code null}
	 */
	UpstreamState find(String id) {
		return this.byId.get(id);
	}

	/**
	 * An upstream by address.
	 * @param address the address
	 * @return its state, or {@code null}
	 */
	UpstreamState findByAddress(String address) {
		return this.byAddress.get(address);
	}

	/**
	 * The upstreams of a service that stay.
	 * @param service the service
	 * @return their states
	 */
	Collection<UpstreamState> staying(String service) {
		List<UpstreamState> staying = new ArrayList<>();
		for (UpstreamState state : this.byId.values()) {
			if (state.upstream().service().equals(service) && !state.upstream().leaving()) {
				staying.add(state);
			}
		}
		return staying;
	}

	/**
	 * Memory of this process's requests at the engines where it is most.
	 * @param most how many engines
	 * @return tokens times layers, by the engine's name
	 */
	Map<String, Long> busiest(int most) {
		Map<String, Long> tokenLayers = new HashMap<>();
		this.byId.values()
			.stream()
			.filter((state) -> state.tokenLayers() > 0)
			.sorted(Comparator.comparingLong(UpstreamState::tokenLayers).reversed())
			.limit(most)
			.forEach((state) -> tokenLayers.put(state.upstream().id(), state.tokenLayers()));
		return tokenLayers;
	}

	/**
	 * How many upstreams are known.
	 * @return the number
	 */
	int size() {
		return this.byId.size();
	}

}
