package io.whinjunction.priority;

/**
 * What decides when a request begins. Immutable.
 *
 * @param rank its rank; 0 is the most urgent
 * @param team the team of its caller; empty if it has none
 * @param tokens its expected size, in tokens
 * @param latestBeginMs the latest time at which it can begin and still be on time
 * @param returned whether its caller was refused before and came back when it was told to
 */
public record WaitingRequest(int rank, String team, long tokens, long latestBeginMs, boolean returned) {
}
