package io.whinjunction.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Tells upstreams that crashed from those that only lost connections: the latter are seen
 * to be still running shortly afterwards.
 * <p>
 * Invariant: at most {@link #MAX_UPSTREAMS} upstreams are tracked. Times are passed in by
 * the caller and never decrease. Not thread-safe: confined to the event loop.
 */
final class UpstreamSurvival {

	/**
	 * An upstream that sends data between {@code SURVIVED_FROM_MS} and
	 * {@link #SURVIVED_UNTIL_MS} after it was assumed to have crashed, in milliseconds,
	 * has not crashed: data that it sent before has been read by then, and no upstream
	 * restarts that fast.
	 */
	static final long SURVIVED_FROM_MS = 300;

	static final long SURVIVED_UNTIL_MS = 1500;

	/**
	 * Minimum interval between two records that an upstream is still running, in
	 * milliseconds.
	 */
	private static final long SURVIVED_INTERVAL_MS = 100;

	private static final int MAX_UPSTREAMS = 1024;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	/** Times at which upstreams were last assumed to have crashed, by incarnation. */
	private final Map<String, Long> crashedAtMs = bounded(MAX_UPSTREAMS);

	/**
	 * Times at which upstreams assumed to have crashed were seen to be still running.
	 */
	private final Map<String, Long> survivedAtMs = bounded(MAX_UPSTREAMS);

	/**
	 * Creates a map that evicts its oldest entry when it is full.
	 * @param maxSize the number of entries
	 * @param <K> the type of the keys
	 * @return an empty map from keys to times
	 */
	static <K> Map<K, Long> bounded(int maxSize) {
		return new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
				return size() > maxSize;
			}

		};
	}

	/**
	 * Records that an upstream is assumed to have crashed.
	 * @param upstream its incarnation
	 * @param atMs when its connections ended
	 */
	void crashed(String upstream, long atMs) {
		this.crashedAtMs.merge(upstream, atMs, Math::max);
	}

	/**
	 * Records that an upstream sent data.
	 * @param upstream its incarnation
	 * @param nowMs the current time
	 * @return whether assumed crashes may be disproved by it
	 */
	boolean answered(String upstream, long nowMs) {
		Long crashedAt = this.crashedAtMs.get(upstream);
		if (crashedAt == null) {
			return false;
		}
		if (nowMs - crashedAt >= SURVIVED_UNTIL_MS) {
			this.crashedAtMs.remove(upstream);
			return false;
		}
		boolean due = nowMs - this.survivedAtMs.getOrDefault(upstream, NEVER_MS) >= SURVIVED_INTERVAL_MS;
		if (due) {
			this.survivedAtMs.put(upstream, nowMs);
		}
		return due;
	}

	/**
	 * Returns whether an upstream is known to have survived an assumed crash.
	 * @param upstream its incarnation
	 * @param atMs when it was assumed to have crashed
	 * @return whether it was seen to be running afterwards
	 */
	boolean survived(String upstream, long atMs) {
		long sinceMs = this.survivedAtMs.getOrDefault(upstream, NEVER_MS) - atMs;
		return sinceMs >= SURVIVED_FROM_MS && sinceMs < SURVIVED_UNTIL_MS;
	}

	/**
	 * Withdraws crashes that were assumed because connections ended for another reason.
	 * @param upstreams matches the incarnations of the upstreams concerned
	 * @param sinceMs withdraws crashes from this time on
	 */
	void retract(Predicate<String> upstreams, long sinceMs) {
		this.crashedAtMs.entrySet().removeIf((crash) -> crash.getValue() >= sinceMs && upstreams.test(crash.getKey()));
	}

}
