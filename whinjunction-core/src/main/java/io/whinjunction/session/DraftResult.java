package io.whinjunction.session;

import java.util.List;

import io.whinjunction.outcome.Outcome;

/**
 * How a draft ended. Immutable.
 *
 * @param outcome what the caller may be told
 * @param tokens the tokens made so far
 * @param hops where it ran
 * @param attempts how many pipelines were used
 */
public record DraftResult(Outcome outcome, List<String> tokens, List<Hop> hops, int attempts) {
}
