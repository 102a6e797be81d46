package io.whinjunction.router;

import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * What a router adds to a request for one upstream. Immutable.
 *
 * @param instanceId the upstream that is meant; another one at its address refuses
 * @param team the caller's team, or {@code null}
 * @param leftMs the time left, in milliseconds
 * @param priority the request's rank, 0 the most urgent; -1 where none is set
 * @param path the engines it passes through; empty for a plain service
 * @param lastEventId the event after which the stream goes on, or {@code null}
 */
public record ForwardingContext(String instanceId, String team, long leftMs, int priority, List<Hop> path, String lastEventId) {
}
