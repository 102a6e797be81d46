package io.whinjunction.router;

import java.util.List;

import io.whinjunction.store.StoreVersion;

/**
 * All changes of the list of upstreams between two versions. Immutable.
 * <p>
 * Invariant: applied to a list of any version from {@link #after} on, they yield the list
 * of {@link #version}.
 *
 * @param after the earliest version to which they can be applied
 * @param changed upstreams that were added or changed, as of {@code version}
 * @param removed names of the upstreams that were removed
 * @param version the version that results
 */
public record UpstreamChanges(StoreVersion after, List<Upstream> changed, List<String> removed, StoreVersion version) {

	public UpstreamChanges {
		changed = List.copyOf(changed);
		removed = List.copyOf(removed);
	}

	/**
	 * Returns a marker that the changes after a version must be read from the store.
	 * @param version the version
	 * @return empty changes that do not advance the version
	 */
	static UpstreamChanges unknownAfter(StoreVersion version) {
		return new UpstreamChanges(version, List.of(), List.of(), version);
	}

	boolean unknown() {
		return !this.version.after(this.after);
	}

	/**
	 * Returns whether the changes apply to a list and advance it. Outdated and duplicate
	 * changes, and those that do not reach back to the version of the list, do not.
	 * @param held the version of the list
	 * @return whether they can be applied and lead to a later version
	 */
	boolean appliesTo(StoreVersion held) {
		return !this.after.after(held) && this.version.after(held);
	}

	int size() {
		return this.changed.size() + this.removed.size();
	}

}
