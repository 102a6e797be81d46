package io.whinjunction.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.whinjunction.store.StoreVersion;

/**
 * The most recent changes of the list of upstreams, for peers that request the changes
 * that they missed.
 * <p>
 * Invariants: each entry starts at the version at which the previous one ends, so that
 * any run of entries up to the last one is complete; at most {@link #MAX_CHANGES_KEPT}
 * entries are kept. Confined to the event loop.
 */
final class RecentChanges {

	/**
	 * Number of entries kept: enough for several seconds in which every change is read on
	 * its own.
	 */
	private static final int MAX_CHANGES_KEPT = 32;

	/**
	 * Maximum number of upstreams and names in one answer; bounds the size of a datagram.
	 */
	static final int MAX_PER_ANSWER = 40;

	private final Deque<UpstreamChanges> kept = new ArrayDeque<>();

	/**
	 * Records changes that have just been applied.
	 * @param changes the changes
	 * @param previousVersion the version of the list before them
	 */
	void add(UpstreamChanges changes, StoreVersion previousVersion) {
		if (!this.kept.isEmpty() && !this.kept.getLast().version().equals(previousVersion)) {
			this.kept.clear();
		}
		this.kept.addLast(changes);
		if (this.kept.size() > MAX_CHANGES_KEPT) {
			this.kept.removeFirst();
		}
	}

	/**
	 * Records that nothing has changed between two versions.
	 * @param previousVersion the earlier version
	 * @param version the later version
	 */
	void unchanged(StoreVersion previousVersion, StoreVersion version) {
		if (!this.kept.isEmpty() && this.kept.getLast().version().equals(previousVersion)) {
			UpstreamChanges last = this.kept.removeLast();
			this.kept.addLast(new UpstreamChanges(last.after(), last.changed(), last.removed(), version));
		}
	}

	/** Discards all entries: the store was restored, and its history starts again. */
	void clear() {
		this.kept.clear();
	}

	/**
	 * Returns what changed after a version.
	 * @param version the version
	 * @return all changes since, or {@link UpstreamChanges#unknownAfter} if some are no
	 * longer kept or they exceed {@link #MAX_PER_ANSWER}
	 */
	UpstreamChanges after(StoreVersion version) {
		if (this.kept.isEmpty() || this.kept.getFirst().after().after(version)
				|| !this.kept.getLast().version().after(version)) {
			return UpstreamChanges.unknownAfter(version);
		}
		Map<String, Upstream> changed = new LinkedHashMap<>();
		Set<String> removed = new LinkedHashSet<>();
		for (UpstreamChanges changes : this.kept) {
			if (changes.version().after(version)) {
				apply(changes, changed, removed);
			}
		}
		if (changed.size() + removed.size() > MAX_PER_ANSWER) {
			return UpstreamChanges.unknownAfter(version);
		}
		return new UpstreamChanges(version, List.copyOf(changed.values()), List.copyOf(removed),
				this.kept.getLast().version());
	}

	private static void apply(UpstreamChanges changes, Map<String, Upstream> changed, Set<String> removed) {
		for (Upstream upstream : changes.changed()) {
			changed.put(upstream.id(), upstream);
			removed.remove(upstream.id());
		}
		for (String id : changes.removed()) {
			changed.remove(id);
			removed.add(id);
		}
	}

}
