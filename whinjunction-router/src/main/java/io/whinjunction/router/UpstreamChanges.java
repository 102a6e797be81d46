package io.whinjunction.router;

import java.util.List;

import io.whinjunction.store.StoreVersion;

/**
 * All changes of the list of upstreams between two of its versions. Immutable.
 * <p>
 * Invariant: whoever has the list as of any version from {@link #after} on has it as of
 * {@link #version} once these are applied.
 *
 * @param after the earliest version that they can be applied to
 * @param changed upstreams that are new or have changed, as of {@code version}
 * @param removed names of those that are gone
 * @param version the version that they lead to
 */
public record UpstreamChanges(StoreVersion after, List<Upstream> changed, List<String> removed, StoreVersion version) {

	public UpstreamChanges {
		changed = List.copyOf(changed);
		removed = List.copyOf(removed);
	}

	/**
	 * Says that the changes after a version have to be read from the store.
	 * @param version the version
	 * @return no changes, which lead nowhere
	 */
	static UpstreamChanges unknownAfter(StoreVersion version) {
		return new UpstreamChanges(version, List.of(), List.of(), version);
	}

	boolean unknown() {
		return !this.version.after(this.after);
	}

	/**
	 * Whether they bring a list on. Those that are late, doubled or don't reach back far
	 * enough don't.
	 * @param held the version of the list
	 * @return whether they can be applied to it and say something new
	 */
	boolean appliesTo(StoreVersion held) {
		return !this.after.after(held) && this.version.after(held);
	}

	int size() {
		return this.changed.size() + this.removed.size();
	}

}
