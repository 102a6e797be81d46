package io.whinjunction.session;

import io.whinjunction.configuration.LayerRange;

/**
 * What one stage did in one attempt, for {@code explain} and traces. Immutable.
 *
 * @param attempt the attempt
 * @param upstream the instance
 * @param failureDomain where it is
 * @param range the layers
 * @param generation the engine generation
 * @param steps the number of steps that it ran
 * @param millis the time spent there, in milliseconds
 * @param end {@code ok} or the reason of the failure
 */
public record Hop(int attempt, String upstream, String failureDomain, LayerRange range, long generation, int steps,
		double millis, String end) {
}
