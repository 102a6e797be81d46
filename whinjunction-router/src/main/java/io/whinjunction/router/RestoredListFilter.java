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
 * What is known of upstreams better than by the older copy from which the store came
 * back.
 * <p>
 * The failures it guards against: the copy has an upstream serve that has said since that
 * it leaves, or lists one that has gone, and requests go there again; and it lacks
 * upstreams that came later and live, which would be dropped all at once. What an
 * upstream said last holds until it writes itself again.
 * <p>
 * Confined to the event loop.
 */
final class RestoredListFilter {

	/** Names of upstreams that the copy lacks and that may write themselves again. */
	private final Set<String> missing = new HashSet<>();

	/** Entries of the copy that say less than was known, by name. */
	private final Map<String, Upstream> outlived = new HashMap<>();

	/**
	 * Takes the first list after a return.
	 * @param changes what it changes
	 * @param known the upstream of a name as it is known, or {@code null}
	 * @param gone whether a start is known to have gone
	 * @return the changes that are news
	 */
	UpstreamChanges first(UpstreamChanges changes, Function<String, Upstream> known, Predicate<String> gone) {
		this.missing.clear();
		this.outlived.clear();
		this.missing.addAll(changes.removed());
		List<Upstream> news = new ArrayList<>();
		for (Upstream listed : changes.changed()) {
			Upstream before = known.apply(listed.id());
			boolean left = (before != null) ? before.leaving() && !listed.bornAfter(before.bornMs())
					: gone.test(listed.incarnation());
			if (left) {
				this.outlived.put(listed.id(), listed);
			}
			else {
				news.add(listed);
			}
		}
		return new UpstreamChanges(changes.after(), news, List.of(), changes.version());
	}

	/**
	 * Takes a later list of the same era.
	 * @param listing the list
	 * @param changes what it changes
	 * @return the changes that are news
	 */
	UpstreamChanges later(UpstreamListing listing, UpstreamChanges changes) {
		List<Upstream> news = new ArrayList<>(changes.changed());
		news.removeIf((listed) -> listed.equals(this.outlived.get(listed.id())));
		for (Upstream listed : listing.upstreams()) {
			// It is as it was known, but others may still miss it.
			if (this.missing.remove(listed.id()) && !news.contains(listed)) {
				news.add(listed);
			}
		}
		List<String> removed = new ArrayList<>(changes.removed());
		removed.removeIf(this.missing::contains);
		return new UpstreamChanges(changes.after(), news, removed, changes.version());
	}

	/**
	 * Hears of what was written since.
	 * @param changes the changes
	 */
	void written(UpstreamChanges changes) {
		changes.changed().forEach((upstream) -> written(upstream.id()));
		changes.removed().forEach(this::written);
	}

	private void written(String id) {
		this.missing.remove(id);
		this.outlived.remove(id);
	}

	/**
	 * The upstreams that the copy lacks and that weren't written since.
	 * @return their names
	 */
	Set<String> missing() {
		return Set.copyOf(this.missing);
	}

	/** Gives the upstreams up that are missing. */
	void forgetMissing() {
		this.missing.clear();
	}

	/**
	 * Trusts the store's entries again, whoever wrote them.
	 * @return whether there was any that wasn't trusted
	 */
	boolean forgetOutlived() {
		boolean any = !this.outlived.isEmpty();
		this.outlived.clear();
		return any;
	}

}
