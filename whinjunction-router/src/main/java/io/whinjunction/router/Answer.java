package io.whinjunction.router;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A complete answer to a caller. Immutable except for the reader index of the body.
 *
 * @param status the status line
 * @param headers headers without framing
 * @param body the complete body, on the heap, so that nothing has to be released
 */
record Answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {

	/**
	 * Returns an error answer that the router itself generates.
	 * @param status the status
	 * @param sentence what happened, for people
	 * @return the answer
	 */
	static Answer error(HttpResponseStatus status, String sentence) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		String json = "{\"error\":\"" + sentence + "\"}";
		return new Answer(status, headers, Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
	}

	/**
	 * Returns a refusal: the request has not run and will not run.
	 * @param sentence the reason
	 * @param retryAfterMs when the caller may retry, in milliseconds
	 * @return the answer
	 */
	static Answer refusal(String sentence, long retryAfterMs) {
		Answer answer = error(HttpResponseStatus.SERVICE_UNAVAILABLE, sentence);
		answer.headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMs / 1000.0));
		return answer;
	}

}
