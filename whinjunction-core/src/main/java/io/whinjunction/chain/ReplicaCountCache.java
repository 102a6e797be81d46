package io.whinjunction.chain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Caches the number of replicas of a model by the kinds of engines in a failure domain.
 * <p>
 * Load pattern: the plan is computed several times per second, and rating all ways to
 * divide 522 engines took 1.6 s each time on one core. The kinds present change only when
 * engines join or leave.
 * <p>
 * Invariant: holds at most {@link #MAX_ENTRIES} entries. Not thread-safe.
 */
public final class ReplicaCountCache {

	/** Nine failure domains, each with and without some engines, with a margin. */
	private static final int MAX_ENTRIES = 256;

	private final Map<Key, Integer> counts = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Integer> eldest) {
			return size() > MAX_ENTRIES;
		}

	};

	/**
	 * Returns how often each layer should be held.
	 * @param profile the model
	 * @param engines the failure domain's engines that are not leaving
	 * @return the number of replicas; 0 if the model does not fit
	 */
	int of(ModelProfile profile, List<Engine> engines) {
		Map<String, Integer> engineCounts = new TreeMap<>();
		engines.forEach((engine) -> engineCounts.merge(engine.kind().name(), 1, Integer::sum));
		return this.counts.computeIfAbsent(new Key(profile, engineCounts),
				(ignored) -> DomainPlan.replicas(profile, engines));
	}

	/**
	 * Cache key.
	 *
	 * @param profile the model
	 * @param engineCounts the number of engines by kind
	 */
	private record Key(ModelProfile profile, Map<String, Integer> engineCounts) {
	}

}
