package io.whinjunction.http.server;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A complete response. Immutable.
 *
 * @param status the status
 * @param headers the headers in order
 * @param body the body
 */
public record Reply(int status, List<Map.Entry<String, String>> headers, byte[] body) {

	/**
	 * Creates a JSON response.
	 * @param status the status
	 * @param json the body
	 * @return the reply
	 */
	public static Reply json(int status, String json) {
		return new Reply(status, List.of(Map.entry("content-type", "application/json")),
				json.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Creates a plain text response.
	 * @param status the status
	 * @param text the body
	 * @return the reply
	 */
	public static Reply text(int status, String text) {
		return new Reply(status, List.of(Map.entry("content-type", "text/plain; charset=utf-8")),
				text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a copy of this reply with one more header.
	 * @param name the header name
	 * @param value the header value
	 * @return a new reply
	 */
	public Reply with(String name, String value) {
		List<Map.Entry<String, String>> extended = new ArrayList<>(this.headers);
		extended.add(Map.entry(name, value));
		return new Reply(this.status, List.copyOf(extended), this.body);
	}

}
