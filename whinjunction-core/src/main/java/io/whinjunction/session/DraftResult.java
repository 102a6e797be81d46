package io.whinjunction.session;

import java.util.List;

import io.whinjunction.outcome.Outcome;

/**
 * The result of a draft. Immutable.
 *
 * @param outcome the outcome to report to the caller
 * @param tokens the tokens generated so far
 * @param hops where it ran
 * @param attempts the number of pipelines used
 */
public record DraftResult(Outcome outcome, List<String> tokens, List<Hop> hops, int attempts) {
}
