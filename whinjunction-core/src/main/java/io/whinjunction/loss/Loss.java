package io.whinjunction.loss;

/**
 * A request that was not answered on time. Immutable.
 *
 * @param requestId the request
 * @param time when it ended, as the log has it
 * @param kind its kind
 * @param cause why it was not on time
 * @param domain the failure domain of the upstream that it was sent to last; {@code -}
 * where it was sent to none
 * @param evidence the figures or the reason that decided
 */
public record Loss(String requestId, String time, String kind, LossCause cause, String domain, String evidence) {
}
