package io.whinjunction.pipeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.whinjunction.configuration.LayerRange;

/**
 * The upstreams that this entry knows, by service and layer range.
 * <p>
 * Invariant: an upstream once seen leaving, from whichever source first, takes no new
 * work until it comes back with a new instance id: the lagging sources cannot turn it
 * back. Readers see one immutable snapshot; safe for all threads.
 */
public final class UpstreamTable {

	/** A lagging list may show a gone instance again, but not after so many lists. */
	private static final int FORGET_AFTER_LISTS = 600;

	private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

	/** Instances that leave, with for how many lists they have been gone. */
	private final Map<String, Integer> leaving = new ConcurrentHashMap<>();

	private volatile Snapshot snapshot = new Snapshot(Map.of(), Map.of());

	/**
	 * Replaces what is known.
	 * @param upstreams all upstreams of the newest instance list, with their own reports
	 */
	public synchronized void replace(List<Upstream> upstreams) {
		Map<String, Upstream> byId = new HashMap<>();
		for (Upstream upstream : upstreams) {
			if (upstream.leaving()) {
				this.leaving.put(upstream.id(), 0);
			}
			byId.put(upstream.id(), upstream);
		}
		this.leaving.replaceAll((id, lists) -> byId.containsKey(id) ? 0 : lists + 1);
		this.leaving.values().removeIf((lists) -> lists > FORGET_AFTER_LISTS);
		this.loads.keySet().retainAll(byId.keySet());
		publish(byId);
	}

	/**
	 * Takes somebody's word that an upstream goes.
	 * @param id the instance
	 * @return whether that was news
	 */
	public synchronized boolean markLeaving(String id) {
		boolean news = this.leaving.putIfAbsent(id, 0) == null;
		if (news) {
			publish(this.snapshot.byId());
		}
		return news;
	}

	/**
	 * The instances known to leave.
	 * @return their ids
	 */
	public List<String> leavingIds() {
		return List.copyOf(this.leaving.keySet());
	}

	/**
	 * All upstreams.
	 * @return an immutable view
	 */
	public Map<String, Upstream> all() {
		return this.snapshot.byId();
	}

	/**
	 * Upstreams of a model that hold a range and are not leaving.
	 * @param service the model
	 * @param range the layers
	 * @return an immutable list
	 */
	public List<Upstream> holding(String service, LayerRange range) {
		return byFailureDomain(service, range).values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Upstreams that hold a range and are not leaving, by failure domain.
	 * @param service the model, or a plain service
	 * @param range the layers; {@code null} for a plain service
	 * @return an immutable map
	 */
	Map<String, List<Upstream>> byFailureDomain(String service, LayerRange range) {
		return this.snapshot.bySlot().getOrDefault(new Slot(service, range), Map.of());
	}

	/**
	 * This entry's own observations of an upstream.
	 * @param id the instance
	 * @return its load, made on first use
	 */
	public UpstreamLoad load(String id) {
		return this.loads.computeIfAbsent(id, (key) -> new UpstreamLoad());
	}

	private void publish(Map<String, Upstream> upstreams) {
		Map<String, Upstream> byId = new HashMap<>();
		Map<Slot, Map<String, List<Upstream>>> bySlot = new HashMap<>();
		for (Upstream upstream : upstreams.values()) {
			Upstream current = this.leaving.containsKey(upstream.id()) ? upstream.asLeaving() : upstream;
			byId.put(current.id(), current);
			if (!current.leaving()) {
				bySlot.computeIfAbsent(new Slot(current.service(), current.range()), (slot) -> new HashMap<>())
					.computeIfAbsent(current.failureDomain(), (failureDomain) -> new ArrayList<>())
					.add(current);
			}
		}
		this.snapshot = new Snapshot(Map.copyOf(byId), bySlot);
	}

	private record Slot(String service, LayerRange range) {
	}

	private record Snapshot(Map<String, Upstream> byId, Map<Slot, Map<String, List<Upstream>>> bySlot) {
	}

}
