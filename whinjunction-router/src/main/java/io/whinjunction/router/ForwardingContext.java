package io.whinjunction.router;

import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * The values that a router adds to a request that it forwards to an upstream. Immutable.
 *
 * @param instanceId the upstream that the request is meant for; another one at its
 * address refuses it
 * @param team the caller's team, or {@code null}
 * @param leftMs the time left, in milliseconds
 * @param priority the priority of the request, 0 the most urgent; -1 if none is set
 * @param path the engines that the request passes through; empty for a plain service
 * @param lastEventId the event after which the stream resumes, or {@code null}
 */
public record ForwardingContext(String instanceId, String team, long leftMs, int priority, List<Hop> path,
		String lastEventId) {
}
