package io.whinjunction.loss;

/**
 * A request that was not answered on time. Immutable.
 *
 * @param requestId the request
 * @param time when it ended, as logged
 * @param kind its kind
 * @param cause why it was not on time
 * @param domain the failure domain of the upstream that it was last sent to; {@code -} if
 * it was never sent
 * @param evidence the log fields that determined the cause
 */
public record Loss(String requestId, String time, String kind, LossCause cause, String domain, String evidence) {
}
