package io.whinjunction.pipeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.availability.RequestedBackoffs;
import io.whinjunction.availability.UpstreamNotice;
import io.whinjunction.configuration.LayerRange;

/**
 * The upstreams known to this entry, by service and layer range.
 * <p>
 * Invariants: an upstream that any source has reported as leaving takes no new work until
 * it returns with a new instance id; lagging sources cannot revert that. An upstream that
 * requested a backoff takes no new work until its end. Readers see one immutable
 * snapshot; thread-safe.
 */
public final class UpstreamTable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * A lagging list may contain an instance that is gone, but not after this many lists.
	 */
	private static final int FORGET_AFTER_LISTS = 600;

	private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

	/** Leaving instances with the number of lists in which they have been missing. */
	private final Map<String, Integer> leaving = new ConcurrentHashMap<>();

	private final RequestedBackoffs backoffs = new RequestedBackoffs();

	private final RunCheck runCheck;

	private volatile Snapshot snapshot = new Snapshot(Map.of(), Map.of());

	/** Creates an empty table of a process that never pauses. */
	public UpstreamTable() {
		this((sinceMs, nowMs) -> true);
	}

	/**
	 * Creates an empty table.
	 * @param runCheck whether this process ran while it waited for an upstream
	 */
	public UpstreamTable(RunCheck runCheck) {
		this.runCheck = runCheck;
	}

	/**
	 * Replaces the table.
	 * @param upstreams all upstreams of the latest instance list, with their own reports
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
	 * Marks an upstream as leaving, as reported by any source.
	 * @param id the instance
	 * @return whether it was not marked before
	 */
	public synchronized boolean markLeaving(String id) {
		boolean added = this.leaving.putIfAbsent(id, 0) == null;
		if (added) {
			publish(this.snapshot.byId());
		}
		return added;
	}

	/**
	 * Processes the head of any answer of an upstream.
	 * @param id the instance
	 * @param status the status of the answer
	 * @param notice what the upstream states about itself
	 * @param nowMs the current time
	 */
	public void answered(String id, int status, UpstreamNotice notice, long nowMs) {
		if (notice.leaving() && markLeaving(id)) {
			logger.atInfo().log("upstream %s states that it leaves, in an answer of status %d", id, status);
		}
		if (this.backoffs.request(id, notice.backoffMs(status), nowMs)) {
			logger.atInfo().log("upstream %s requests a backoff of %d ms", id, notice.backoffMs(status));
		}
	}

	/**
	 * Processes the head of any answer of an upstream that is known by its address.
	 * Ignored if no upstream has the address.
	 * @param address {@code HOST:PORT}
	 * @param status the status of the answer
	 * @param notice what the upstream states about itself
	 * @param nowMs the current time
	 */
	public void answeredAt(String address, int status, UpstreamNotice notice, long nowMs) {
		// Nearly all answers state nothing, and looking for the address is slow.
		if (!notice.leaving() && notice.backoffMs(status) == 0) {
			return;
		}
		this.snapshot.byId()
			.values()
			.stream()
			.filter((upstream) -> upstream.address().equals(address))
			.forEach((upstream) -> answered(upstream.id(), status, notice, nowMs));
	}

	/**
	 * Returns how long an upstream requests to get nothing.
	 * @param id the instance
	 * @param nowMs the current time
	 * @return milliseconds from now; 0 if it takes work
	 */
	public long backoffMs(String id, long nowMs) {
		return this.backoffs.remainingMs(id, nowMs);
	}

	/**
	 * Returns the instances known to be leaving.
	 * @return their ids
	 */
	public List<String> leavingIds() {
		return List.copyOf(this.leaving.keySet());
	}

	/**
	 * Returns all upstreams.
	 * @return an immutable view
	 */
	public Map<String, Upstream> all() {
		return this.snapshot.byId();
	}

	/**
	 * Returns the upstreams of a model that hold a range and are not leaving.
	 * @param service the model
	 * @param range the layers
	 * @return an immutable list
	 */
	public List<Upstream> holding(String service, LayerRange range) {
		return byFailureDomain(service, range).values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Returns the upstreams that hold a range and are not leaving, by failure domain.
	 * @param service the model, or a plain service
	 * @param range the layers; {@code null} for a plain service
	 * @return an immutable map
	 */
	Map<String, List<Upstream>> byFailureDomain(String service, LayerRange range) {
		return this.snapshot.bySlot().getOrDefault(new Slot(service, range), Map.of());
	}

	/**
	 * Returns this entry's own observations of an upstream.
	 * @param id the instance
	 * @return its load, created on first use
	 */
	public UpstreamLoad load(String id) {
		return this.loads.computeIfAbsent(id, (key) -> new UpstreamLoad());
	}

	/**
	 * Records a unit of work that succeeded. Its duration counts only if this process ran
	 * all the time: after a pause, every upstream with work in progress would be taken
	 * for slow.
	 * @param id the instance
	 * @param startMs when it began
	 * @param endMs when it ended, which is now
	 */
	public void succeeded(String id, long startMs, long endMs) {
		if (this.runCheck.ranThroughout(startMs, endMs)) {
			load(id).succeeded(endMs - startMs);
		}
		else {
			load(id).succeededUnmeasured();
		}
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

	/** Determines whether this process ran without a pause. */
	@FunctionalInterface
	public interface RunCheck {

		/**
		 * Returns whether this process ran without a pause.
		 * @param sinceMs the start of the span
		 * @param nowMs the time, which ends the span
		 * @return whether it did, as far as is known
		 */
		boolean ranThroughout(long sinceMs, long nowMs);

	}

	private record Slot(String service, LayerRange range) {
	}

	private record Snapshot(Map<String, Upstream> byId, Map<Slot, Map<String, List<Upstream>>> bySlot) {
	}

}
