package io.whinjunction.pipeline;

import java.util.List;

/**
 * One upstream per layer range, in order. Immutable.
 *
 * @param stages the upstreams, first layers first
 */
public record Pipeline(List<Upstream> stages) {
}
