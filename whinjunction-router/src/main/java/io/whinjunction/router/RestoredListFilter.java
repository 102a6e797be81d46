package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Filters the list of a store that was restored from an older copy by the later states of
 * the upstreams that this router has.
 * <p>
 * Guards against two failures. The copy may show an upstream as serving that has since
 * announced that it leaves, or list one that has gone, and requests would be sent there
 * again. And it may lack live upstreams that were added after it was made, which would
 * all be dropped at once. The last state that an upstream registered is kept until the
 * upstream writes its entry again.
 * <p>
 * Confined to the event loop.
 */
final class RestoredListFilter {

	/** Names of upstreams that the copy lacks and that may register again. */
	private final Set<String> missing = new HashSet<>();

	/** Entries of the copy that are older than the known state, by name. */
	private final Map<String, Upstream> staleEntries = new HashMap<>();

	/**
	 * Filters the first list after a restore.
	 * @param changes what the list changes
	 * @param known returns the known upstream of a name, or {@code null}
	 * @param gone whether an incarnation is known to have gone
	 * @return the changes to apply
	 */
	UpstreamChanges first(UpstreamChanges changes, Function<String, Upstream> known, Predicate<String> gone) {
		this.missing.clear();
		this.staleEntries.clear();
		this.missing.addAll(changes.removed());
		List<Upstream> effective = new ArrayList<>();
		for (Upstream listed : changes.changed()) {
			Upstream before = known.apply(listed.id());
			boolean left = (before != null) ? before.leaving() && !listed.bornAfter(before.bornMs())
					: gone.test(listed.incarnation());
			if (left) {
				this.staleEntries.put(listed.id(), listed);
			}
			else {
				effective.add(listed);
			}
		}
		return new UpstreamChanges(changes.after(), effective, List.of(), changes.version());
	}

	/**
	 * Filters a later list of the same era.
	 * @param listing the list
	 * @param changes what the list changes
	 * @return the changes to apply
	 */
	UpstreamChanges later(UpstreamListing listing, UpstreamChanges changes) {
		List<Upstream> effective = new ArrayList<>(changes.changed());
		effective.removeIf((listed) -> listed.equals(this.staleEntries.get(listed.id())));
		for (Upstream listed : listing.upstreams()) {
			// The entry equals the known one, but peers may still lack it.
			if (this.missing.remove(listed.id()) && !effective.contains(listed)) {
				effective.add(listed);
			}
		}
		List<String> removed = new ArrayList<>(changes.removed());
		removed.removeIf(this.missing::contains);
		return new UpstreamChanges(changes.after(), effective, removed, changes.version());
	}

	/**
	 * Records what was written since the restore.
	 * @param changes the changes
	 */
	void recordWritten(UpstreamChanges changes) {
		changes.changed().forEach((upstream) -> recordWritten(upstream.id()));
		changes.removed().forEach(this::recordWritten);
	}

	private void recordWritten(String id) {
		this.missing.remove(id);
		this.staleEntries.remove(id);
	}

	/**
	 * Returns the upstreams that the copy lacks and that have not been written since.
	 * @return their names
	 */
	Set<String> missing() {
		return Set.copyOf(this.missing);
	}

	/** Stops tracking the missing upstreams, because they are gone. */
	void forgetMissing() {
		this.missing.clear();
	}

	/**
	 * Accepts all entries of the store again, including those that were older than the
	 * known state.
	 * @return whether there were any such entries
	 */
	boolean forgetStaleEntries() {
		boolean any = !this.staleEntries.isEmpty();
		this.staleEntries.clear();
		return any;
	}

}
