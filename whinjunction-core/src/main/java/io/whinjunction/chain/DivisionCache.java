package io.whinjunction.chain;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the division of failure domains until what their engines hold changes.
 * <p>
 * Load pattern: a failure domain may wait for a load of another one through many plans,
 * each of which would search for the same division.
 * <p>
 * Invariant: holds one entry per model and failure domain, at most {@link #MAX_ENTRIES}.
 * Not thread-safe.
 */
public final class DivisionCache {

	/** Three models in nine failure domains, with a margin. */
	private static final int MAX_ENTRIES = 64;

	private final Map<String, Entry> entries = new HashMap<>();

	/**
	 * Divides a failure domain.
	 * @param profile the model
	 * @param domain the failure domain
	 * @param engines its engines that are not leaving
	 * @return the division, or empty if memory does not suffice
	 */
	Optional<DomainDivision> of(ModelProfile profile, String domain, List<Engine> engines) {
		String key = profile.name() + "/" + domain;
		Entry entry = this.entries.get(key);
		if (entry == null || !entry.engines().equals(engines) || !entry.profile().equals(profile)) {
			if (this.entries.size() >= MAX_ENTRIES) {
				this.entries.clear();
			}
			entry = new Entry(profile, List.copyOf(engines), DomainDivision.of(profile, engines));
			this.entries.put(key, entry);
		}
		return entry.division();
	}

	/**
	 * A division with what it was found from.
	 *
	 * @param profile the model
	 * @param engines the engines
	 * @param division the division, or empty
	 */
	private record Entry(ModelProfile profile, List<Engine> engines, Optional<DomainDivision> division) {
	}

}
