package io.whinjunction.router;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of a caller's request, decoded. Immutable but for the headers, which nobody
 * changes after decoding.
 *
 * @param id names this attempt of the caller; upstreams echo it
 * @param method the HTTP method
 * @param uri path and query as sent
 * @param host the {@code Host} header
 * @param key the key that the caller presents, or {@code null}
 * @param maxWaitMs how long the caller will wait from now, in milliseconds; -1 where it
 * doesn't say
 * @param promptTokens tokens of the prompt; 0 where it doesn't say
 * @param answerTokens the most tokens of the answer; 0 where it doesn't say
 * @param lastEventId the event after which a stream should go on, or {@code null}
 * @param forwarded the headers that upstreams get, without those of one connection, the
 * key and those that a router sets itself
 */
public record CallerRequest(String id, String method, String uri, String host, String key, long maxWaitMs,
		int promptTokens, int answerTokens, String lastEventId, HttpHeaders forwarded) {

	/**
	 * The path without the query.
	 * @return the path
	 */
	public String path() {
		int mark = this.uri.indexOf('?');
		return (mark >= 0) ? this.uri.substring(0, mark) : this.uri;
	}

}
