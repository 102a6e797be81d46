package io.whinjunction.session;

import io.whinjunction.configuration.LayerRange;

/**
 * One stage of one attempt, for {@code explain} and traces. Immutable.
 *
 * @param attempt the attempt
 * @param upstream the instance
 * @param failureDomain where it is
 * @param range the layers
 * @param generation the engine generation
 * @param steps steps that it ran
 * @param millis the time spent there
 * @param end how it ended: {@code ok}, or what failed
 */
public record Hop(int attempt, String upstream, String failureDomain, LayerRange range, long generation, int steps,
		double millis, String end) {
}
