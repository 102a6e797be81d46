package io.whinjunction.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * When streams that stand still are a reason to ask engines, or to go on elsewhere.
 * <p>
 * The load it answers: an engine in the middle of a path dies, and all streams over it
 * stop between two events. One late event says little, since a long prompt at any engine
 * delays it; several streams that are late at once, with none that goes on, have an
 * engine in common that doesn't work, and are noticed sooner than a single one.
 * Stateless.
 */
final class StallRules {

	/**
	 * A stream alone is late after this many of its usual gaps: fewer make a question of
	 * each long prompt that is read before it.
	 */
	private static final double ALONE_GAPS = 3;

	/** Never sooner than this, in milliseconds: a pass of the slowest engines. */
	private static final double LEAST_ALONE_MS = 110;

	/** Always by then, in milliseconds: callers are promised pauses under 250. */
	private static final double MOST_ALONE_MS = 400;

	/**
	 * Streams together are late after this many usual gaps: a pass of a slow engine takes
	 * longer than one.
	 */
	private static final double TOGETHER_GAPS = 1.8;

	private static final double LEAST_TOGETHER_MS = 60;

	private static final double MOST_TOGETHER_MS = 250;

	/** Fewer streams than this don't make each other's lateness a sign. */
	private static final int LEAST_TOGETHER = 3;

	/** A stream over a silent engine goes on elsewhere after this many usual gaps. */
	private static final double MOVE_GAPS = 1.2;

	private static final double LEAST_MOVE_MS = 50;

	private static final double MOST_MOVE_MS = 150;

	/**
	 * How late this process may look at an answer's time limit, in milliseconds, for the
	 * limit to say something of the engine.
	 */
	private static final long OWN_DELAY_MS = 20;

	private StallRules() {
	}

	/**
	 * Whether a stream alone is a reason to ask all engines of its path.
	 * @param pause the stream's pause
	 * @return whether it is late by itself
	 */
	static boolean lateAlone(Pause pause) {
		return pause.quietMs() > aloneMs(pause);
	}

	/**
	 * Whether a stream over an engine that was found silent goes on elsewhere: the engine
	 * may have been found silent by mistake, and a stream that still gets events stays.
	 * @param pause the stream's pause
	 * @return whether it waits for the engine
	 */
	static boolean shouldFailOver(Pause pause) {
		return pause.quietMs() > Math.clamp(MOVE_GAPS * pause.usualGapMs(), LEAST_MOVE_MS, MOST_MOVE_MS);
	}

	/**
	 * Whether a missing answer says something of the engine.
	 * <p>
	 * The failure it guards against: a router that has just started is slow itself, sees
	 * to answers too late, takes all engines for silent and gives all streams up.
	 * @param sinceAskedMs the time since the question
	 * @param limitMs the time that the engine had
	 * @param ownDelayMs how late this process has been lately with its own work
	 * @return {@code false} where this process itself was late, and has to ask again
	 */
	static boolean conclusive(long sinceAskedMs, long limitMs, long ownDelayMs) {
		return sinceAskedMs <= limitMs + OWN_DELAY_MS && ownDelayMs <= OWN_DELAY_MS;
	}

	/**
	 * Engines over which no stream goes on.
	 * @param pauses the pauses of all streams
	 * @return the engines' names
	 */
	static Set<String> stalledEngines(Collection<Pause> pauses) {
		Map<String, Integer> late = new HashMap<>();
		Set<String> moving = new HashSet<>();
		for (Pause pause : pauses) {
			if (!pause.begun()) {
				continue;
			}
			if (pause.quietMs() > togetherMs(pause)) {
				pause.engineIds().forEach((id) -> late.merge(id, 1, Integer::sum));
			}
			else {
				moving.addAll(pause.engineIds());
			}
		}
		Set<String> standing = new HashSet<>();
		late.forEach((id, count) -> {
			if (count >= LEAST_TOGETHER && !moving.contains(id)) {
				standing.add(id);
			}
		});
		return standing;
	}

	private static double aloneMs(Pause pause) {
		return Math.clamp(ALONE_GAPS * pause.usualGapMs(), LEAST_ALONE_MS, MOST_ALONE_MS);
	}

	private static double togetherMs(Pause pause) {
		return Math.clamp(TOGETHER_GAPS * pause.usualGapMs(), LEAST_TOGETHER_MS, MOST_TOGETHER_MS);
	}

	/**
	 * When a stream could next be late, if nothing comes of it until then.
	 * <p>
	 * The load it answers: thousands of streams that go on as usual, which need no look.
	 * @param pause the stream's pause
	 * @return milliseconds from now; 0 where it is late already
	 */
	static double untilLateMs(Pause pause) {
		double limitMs = pause.begun() ? togetherMs(pause) : aloneMs(pause);
		return Math.max(0, limitMs - pause.quietMs());
	}

	/**
	 * How long nothing has come of a stream. Immutable.
	 *
	 * @param engineIds the engines of its path
	 * @param begun whether its gaps are known
	 * @param usualGapMs the mean time between its events; very large before the second
	 * @param quietMs the time since its last event, or since it was sent
	 */
	record Pause(List<String> engineIds, boolean begun, double usualGapMs, long quietMs) {
	}

}
