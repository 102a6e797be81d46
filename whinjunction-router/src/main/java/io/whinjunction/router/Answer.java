package io.whinjunction.router;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A whole answer to a caller. Immutable but for the body's reader.
 *
 * @param status the status line
 * @param headers headers without framing
 * @param body the whole body; on the heap, so that nothing has to be released
 */
record Answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {

	/**
	 * An answer of the router's own.
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
	 * A refusal: the request has not run and never will.
	 * @param sentence why
	 * @param retryAfterMs when to come back, in milliseconds
	 * @return the answer
	 */
	static Answer refusal(String sentence, long retryAfterMs) {
		Answer answer = error(HttpResponseStatus.SERVICE_UNAVAILABLE, sentence);
		answer.headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMs / 1000.0));
		return answer;
	}

}
