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
 * The last changes of the list of upstreams, for routers that ask what they have missed.
 * <p>
 * Invariants: each entry goes on where the one before it ends, so that any run of them
 * that reaches the end is complete; at most {@link #MOST_KEPT} are kept. Confined to the
 * event loop.
 */
final class RecentChanges {

	/** Changes that are kept: those of several seconds in which each is noticed alone. */
	private static final int MOST_KEPT = 32;

	/** Bounds a datagram: upstreams and names in one answer. */
	static final int MAX_PER_ANSWER = 40;

	private final Deque<UpstreamChanges> kept = new ArrayDeque<>();

	/**
	 * Notes changes that have just been applied.
	 * @param changes the changes
	 * @param heldBefore the version of the list before them
	 */
	void add(UpstreamChanges changes, StoreVersion heldBefore) {
		if (!this.kept.isEmpty() && !this.kept.getLast().version().equals(heldBefore)) {
			this.kept.clear();
		}
		this.kept.addLast(changes);
		if (this.kept.size() > MOST_KEPT) {
			this.kept.removeFirst();
		}
	}

	/**
	 * Notes that nothing has changed.
	 * @param heldBefore the version up to which this was known before
	 * @param version the version up to which it is known now
	 */
	void unchanged(StoreVersion heldBefore, StoreVersion version) {
		if (!this.kept.isEmpty() && this.kept.getLast().version().equals(heldBefore)) {
			UpstreamChanges last = this.kept.removeLast();
			this.kept.addLast(new UpstreamChanges(last.after(), last.changed(), last.removed(), version));
		}
	}

	/** Forgets all: the store has come back, and its changes begin anew. */
	void clear() {
		this.kept.clear();
	}

	/**
	 * What changed after a version.
	 * @param version the version
	 * @return all changes since, or {@link UpstreamChanges#unknownAfter} where they
	 * aren't all kept, or are too many
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
