package io.whinjunction.router;

import java.util.List;

/**
 * All changes of the list of upstreams between two of its revisions. Immutable.
 * <p>
 * Invariant: whoever has the list as of any revision from {@link #afterRevision} on has
 * it as of {@link #revision} once these are applied.
 *
 * @param afterRevision the earliest revision that they can be applied to
 * @param changed upstreams that are new or have changed, as of {@code revision}
 * @param removed names of those that are gone
 * @param revision the revision that they lead to
 */
public record UpstreamChanges(long afterRevision, List<Upstream> changed, List<String> removed, long revision) {

	public UpstreamChanges {
		changed = List.copyOf(changed);
		removed = List.copyOf(removed);
	}

	/**
	 * Says that the changes after a revision have to be read from the store.
	 * @param revision the revision
	 * @return no changes, which lead nowhere
	 */
	static UpstreamChanges unknownAfter(long revision) {
		return new UpstreamChanges(revision, List.of(), List.of(), revision);
	}

	boolean unknown() {
		return this.revision <= this.afterRevision;
	}

	/**
	 * Whether they bring a list on. Those that are late, doubled or don't reach back far
	 * enough don't.
	 * @param held the revision of the list
	 * @return whether they can be applied to it and say something new
	 */
	boolean extend(long held) {
		return this.afterRevision <= held && held < this.revision;
	}

	int size() {
		return this.changed.size() + this.removed.size();
	}

}
