package io.whinjunction.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One outgoing HTTP call. Immutable.
 *
 * @param method the method
 * @param address {@code HOST:PORT}
 * @param pathAndQuery the rest of the URL, from the slash
 * @param headers the headers to send
 * @param body the body; empty for none
 * @param timeoutMs the timeout of the whole call, in milliseconds
 * @param freshConnection whether to open a new connection instead of reusing a pooled one
 */
public record Call(String method, String address, String pathAndQuery, List<Map.Entry<String, String>> headers,
		byte[] body, long timeoutMs, boolean freshConnection) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a GET call that may reuse a pooled connection.
	 * @param address {@code HOST:PORT}
	 * @param pathAndQuery path and query
	 * @param timeoutMs the timeout of the whole call, in milliseconds
	 * @return the call
	 */
	public static Call fetch(String address, String pathAndQuery, long timeoutMs) {
		return new Call("GET", address, pathAndQuery, List.of(), NO_BODY, timeoutMs, false);
	}

	/**
	 * Creates a DELETE call that may reuse a pooled connection.
	 * @param address {@code HOST:PORT}
	 * @param pathAndQuery path and query
	 * @param timeoutMs the timeout of the whole call, in milliseconds
	 * @return the call
	 */
	public static Call remove(String address, String pathAndQuery, long timeoutMs) {
		return new Call("DELETE", address, pathAndQuery, List.of(), NO_BODY, timeoutMs, false);
	}

	/**
	 * Creates a call with a JSON body that may reuse a pooled connection.
	 * @param method the method
	 * @param address {@code HOST:PORT}
	 * @param pathAndQuery path and query
	 * @param json the body
	 * @param timeoutMs the timeout of the whole call, in milliseconds
	 * @return the call
	 */
	public static Call json(String method, String address, String pathAndQuery, String json, long timeoutMs) {
		return new Call(method, address, pathAndQuery, List.of(Map.entry("content-type", "application/json")),
				json.getBytes(StandardCharsets.UTF_8), timeoutMs, false);
	}

	/**
	 * Returns a copy of this call with one more header.
	 * @param name the header name
	 * @param value the header value
	 * @return a new call
	 */
	public Call with(String name, String value) {
		List<Map.Entry<String, String>> extended = new ArrayList<>(this.headers);
		extended.add(Map.entry(name, value));
		return new Call(this.method, this.address, this.pathAndQuery, List.copyOf(extended), this.body, this.timeoutMs,
				this.freshConnection);
	}

	/**
	 * Returns a copy of this call that opens a new connection, on which nothing can
	 * arrive that belongs to an earlier call.
	 * @return a new call
	 */
	public Call onNewConnection() {
		return new Call(this.method, this.address, this.pathAndQuery, this.headers, this.body, this.timeoutMs, true);
	}

}
