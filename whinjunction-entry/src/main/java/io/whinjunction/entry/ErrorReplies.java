package io.whinjunction.entry;

import io.whinjunction.configuration.Json;
import io.whinjunction.http.server.Reply;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.outcome.Refusal;
import tools.jackson.databind.node.ObjectNode;

/**
 * Builds the replies and error objects of requests that were refused or failed.
 * Stateless.
 */
final class ErrorReplies {

	static final String OUTCOME = "whin-outcome";

	static final String REQUEST_ID = "whin-request-id";

	private ErrorReplies() {
	}

	static Reply refusal(Outcome outcome, Refusal refusal, String requestId) {
		ObjectNode node = Json.object();
		node.set("error", error(refusal, requestId));
		Reply reply = Reply.json(refusal.status(), node.toString())
			.with(OUTCOME, outcome.headerValue())
			.with(REQUEST_ID, requestId);
		if (refusal.retryAfterS() > 0) {
			reply = reply.with("retry-after", Integer.toString(refusal.retryAfterS()));
		}
		return (refusal.code() == Refusal.Code.UNKNOWN_KEY) ? reply.with("www-authenticate", "Bearer") : reply;
	}

	static ObjectNode error(Refusal refusal, String requestId) {
		ObjectNode error = Json.object();
		error.put("code", refusal.code().wireName());
		error.put("message", refusal.sentence());
		error.put("request_id", requestId);
		if (refusal.retryAfterS() > 0) {
			error.put("retry_after_s", refusal.retryAfterS());
		}
		return error;
	}

}
