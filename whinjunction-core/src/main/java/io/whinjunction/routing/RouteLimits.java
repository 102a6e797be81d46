package io.whinjunction.routing;

/**
 * Time and count limits of a route. Immutable.
 *
 * @param timeoutMs the maximum time that a request may stay unanswered, in milliseconds
 * @param targetLatencyMs the time within which an answer is on time, in milliseconds
 * @param gapTargetMs the longest pause between events that is on time, in milliseconds; 0
 * if the route does not stream
 * @param maxAttempts the maximum number of upstreams that one request may be sent to
 * @param priority the priority of the route; 0 is the most urgent, -1 if none is set
 */
public record RouteLimits(long timeoutMs, long targetLatencyMs, long gapTargetMs, int maxAttempts, int priority) {
}
