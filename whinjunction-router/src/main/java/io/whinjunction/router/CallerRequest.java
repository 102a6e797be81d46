package io.whinjunction.router;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The decoded head of a caller's request. Immutable except for the headers, which are not
 * changed after decoding.
 *
 * @param id identifies this attempt of the caller; upstreams echo it
 * @param method the HTTP method
 * @param uri path and query as sent
 * @param host the {@code Host} header
 * @param key the key that the caller presents, or {@code null}
 * @param maxWaitMs how long the caller waits from now, in milliseconds; -1 if not given
 * @param promptTokens tokens of the prompt; 0 if not given
 * @param answerTokens maximum number of tokens of the answer; 0 if not given
 * @param model the model; empty if not given
 * @param sharedPartIds the ids of the parts of the prompt that other requests may share,
 * in order; those beyond {@link #MAX_SHARED_PARTS} are left out
 * @param lastEventId the event after which a stream should resume, or {@code null}
 * @param forwarded the headers that are forwarded to upstreams: without hop-by-hop
 * headers, the key and the headers that a router sets itself
 */
public record CallerRequest(String id, String method, String uri, String host, String key, long maxWaitMs,
		int promptTokens, int answerTokens, String model, List<String> sharedPartIds, String lastEventId,
		HttpHeaders forwarded) {

	/** Bounds what is tracked of one request. */
	public static final int MAX_SHARED_PARTS = 32;

	public CallerRequest {
		sharedPartIds = List.copyOf(sharedPartIds);
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int mark = this.uri.indexOf('?');
		return (mark >= 0) ? this.uri.substring(0, mark) : this.uri;
	}

	/**
	 * Returns how many tokens the request is expected to occupy. The maximum that a
	 * caller allows for the answer is two to three times the length of real answers, so
	 * the usual length is the upper bound.
	 * @param usualAnswerTokens the usual length of an answer
	 * @return tokens of the prompt and of a usual answer, at most
	 * {@link Integer#MAX_VALUE}
	 */
	public int expectedTokens(int usualAnswerTokens) {
		long tokens = (long) this.promptTokens + Math.min(this.answerTokens, usualAnswerTokens);
		return (int) Math.min(Integer.MAX_VALUE, tokens);
	}

}
