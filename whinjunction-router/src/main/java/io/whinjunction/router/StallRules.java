package io.whinjunction.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides when stalled streams are a reason to query engines or to fail over.
 * <p>
 * Load pattern: an engine in the middle of a path crashes, and all streams over it stop
 * between two events. A single late event is weak evidence, since a long prompt at any
 * engine delays it. Several streams that are late at the same time, on an engine over
 * which no stream makes progress, indicate that this engine has failed, and are detected
 * sooner than a single one. Stateless.
 */
final class StallRules {

	/**
	 * A single stream is late after this many of its mean gaps. Fewer would cause a
	 * status query for each long prompt that is read before it.
	 */
	private static final double ALONE_GAPS = 3;

	/**
	 * Lower bound of the pause after which a single stream is late, in milliseconds: one
	 * pass of the slowest engines.
	 */
	private static final double MIN_ALONE_MS = 110;

	/**
	 * Upper bound of the pause after which a single stream is late, in milliseconds:
	 * callers are promised pauses under 250.
	 */
	private static final double MAX_ALONE_MS = 400;

	/**
	 * Several streams are late after this many mean gaps: a pass of a slow engine takes
	 * longer than one gap.
	 */
	private static final double TOGETHER_GAPS = 1.8;

	private static final double MIN_TOGETHER_MS = 60;

	private static final double MAX_TOGETHER_MS = 250;

	/**
	 * The minimum number of late streams that is evidence against an engine they share.
	 */
	private static final int MIN_TOGETHER = 3;

	/** A stream over a silent engine fails over after this many mean gaps. */
	private static final double FAILOVER_GAPS = 1.2;

	private static final double MIN_FAILOVER_MS = 50;

	private static final double MAX_FAILOVER_MS = 150;

	/**
	 * The maximum delay of this process, in milliseconds, at which a missing reply is
	 * still evidence against the engine.
	 */
	private static final long MAX_OWN_DELAY_MS = 20;

	private StallRules() {
	}

	/**
	 * Returns whether a single stream is a reason to query all engines of its path.
	 * @param pause the stream's pause
	 * @return whether the stream is late on its own
	 */
	static boolean lateAlone(Pause pause) {
		return pause.quietMs() > aloneMs(pause);
	}

	/**
	 * Returns whether a stream over an engine that was found silent fails over. The
	 * engine may have been found silent by mistake; a stream that still receives events
	 * stays.
	 * @param pause the stream's pause
	 * @return whether the stream waits for the engine
	 */
	static boolean shouldFailOver(Pause pause) {
		return pause.quietMs() > Math.clamp(FAILOVER_GAPS * pause.meanGapMs(), MIN_FAILOVER_MS, MAX_FAILOVER_MS);
	}

	/**
	 * Returns whether a missing reply is evidence against the engine.
	 * <p>
	 * Guards against a router that has just started and is slow itself: it processes
	 * replies too late, considers all engines silent and abandons all streams.
	 * @param sinceQueryMs the time since the status query was sent
	 * @param limitMs the time limit for the reply
	 * @param ownDelayMs the recent delay of this process's own work
	 * @return {@code false} if this process itself was late and has to query again
	 */
	static boolean conclusive(long sinceQueryMs, long limitMs, long ownDelayMs) {
		return sinceQueryMs <= limitMs + MAX_OWN_DELAY_MS && ownDelayMs <= MAX_OWN_DELAY_MS;
	}

	/**
	 * Returns the engines over which no stream makes progress.
	 * @param pauses the pauses of all streams
	 * @return the incarnations of the engines
	 */
	static Set<String> stalledEngines(Collection<Pause> pauses) {
		Map<String, Integer> late = new HashMap<>();
		Set<String> progressing = new HashSet<>();
		for (Pause pause : pauses) {
			if (!pause.begun()) {
				continue;
			}
			if (pause.quietMs() > togetherMs(pause)) {
				pause.engineIds().forEach((id) -> late.merge(id, 1, Integer::sum));
			}
			else {
				progressing.addAll(pause.engineIds());
			}
		}
		Set<String> stalled = new HashSet<>();
		late.forEach((id, count) -> {
			if (count >= MIN_TOGETHER && !progressing.contains(id)) {
				stalled.add(id);
			}
		});
		return stalled;
	}

	private static double aloneMs(Pause pause) {
		return Math.clamp(ALONE_GAPS * pause.meanGapMs(), MIN_ALONE_MS, MAX_ALONE_MS);
	}

	private static double togetherMs(Pause pause) {
		return Math.clamp(TOGETHER_GAPS * pause.meanGapMs(), MIN_TOGETHER_MS, MAX_TOGETHER_MS);
	}

	/**
	 * Returns when a stream will be late if no event arrives until then.
	 * <p>
	 * Load pattern: thousands of streams that make normal progress and need no check.
	 * @param pause the stream's pause
	 * @return milliseconds from now; 0 if the stream is late already
	 */
	static double untilLateMs(Pause pause) {
		double limitMs = pause.begun() ? togetherMs(pause) : aloneMs(pause);
		return Math.max(0, limitMs - pause.quietMs());
	}

	/**
	 * The time during which a stream has received no event. Immutable.
	 *
	 * @param engineIds the engines of its path
	 * @param begun whether the mean gap between its events is known
	 * @param meanGapMs the mean time between its events; very large before the second
	 * event
	 * @param quietMs the time since its last event, or since it was sent
	 */
	record Pause(List<String> engineIds, boolean begun, double meanGapMs, long quietMs) {
	}

}
