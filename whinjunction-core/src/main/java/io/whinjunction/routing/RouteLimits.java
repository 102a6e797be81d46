package io.whinjunction.routing;

/**
 * Times and counts of a route. Immutable.
 *
 * @param timeoutMs the longest that an unanswered request may be kept, in milliseconds
 * @param targetLatencyMs the time within which an answer is on time, in milliseconds
 * @param gapTargetMs the longest pause between events that is on time, in milliseconds; 0
 * where the route does not stream
 * @param maxAttempts the most upstreams that one request may be sent to
 * @param priority the route's rank; 0 is the most urgent, -1 where none is set
 */
public record RouteLimits(long timeoutMs, long targetLatencyMs, long gapTargetMs, int maxAttempts, int priority) {
}
