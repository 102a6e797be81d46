package io.whinjunction.chain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Remembers how often the layers of a model should be held, by the kinds of engines that
 * a failure domain has.
 * <p>
 * The load it answers: the plan is made anew several times a second, and rating all ways
 * to divide 522 engines took 1.6 s each time on one core. Which kinds there are changes
 * only when engines come or go.
 * <p>
 * Invariant: holds at most {@link #MOST_REMEMBERED} answers. Not safe for threads.
 */
public final class ReplicaCounts {

	/** Nine failure domains, each with and without some engines, and room to spare. */
	private static final int MOST_REMEMBERED = 256;

	private final Map<Key, Integer> counts = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Integer> eldest) {
			return size() > MOST_REMEMBERED;
		}

	};

	/**
	 * How often each layer should be held.
	 * @param profile the model
	 * @param engines a failure domain's engines that stay
	 * @return how often; 0 where the model doesn't fit
	 */
	int of(ModelProfile profile, List<Engine> engines) {
		Map<String, Integer> engineCounts = new TreeMap<>();
		engines.forEach((engine) -> engineCounts.merge(engine.kind().name(), 1, Integer::sum));
		return this.counts.computeIfAbsent(new Key(profile, engineCounts),
				(ignored) -> DomainPlan.replicas(profile, engines));
	}

	/**
	 * What an answer depends on.
	 *
	 * @param profile the model
	 * @param engineCounts engines by kind
	 */
	private record Key(ModelProfile profile, Map<String, Integer> engineCounts) {
	}

}
