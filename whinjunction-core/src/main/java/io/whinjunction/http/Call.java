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
 * @param headers headers to send
 * @param body the body; empty for none
 * @param timeoutMs the whole call's limit, in milliseconds
 * @param freshConnection whether to avoid connections that were open before
 */
public record Call(String method, String address, String pathAndQuery, List<Map.Entry<String, String>> headers,
		byte[] body, long timeoutMs, boolean freshConnection) {

	private static final byte[] NO_BODY = {};

	/**
	 * A call without a body on a kept connection.
	 * @param address {@code HOST:PORT}
	 * @param pathAndQuery path and query
	 * @param timeoutMs the whole call's limit
	 * @return the call
	 */
	public static Call fetch(String address, String pathAndQuery, long timeoutMs) {
		return new Call("GET", address, pathAndQuery, List.of(), NO_BODY, timeoutMs, false);
	}

	/**
	 * A call that removes what is at a path, on a kept connection.
	 * @param address {@code HOST:PORT}
	 * @param pathAndQuery path and query
	 * @param timeoutMs the whole call's limit
	 * @return the call
	 */
	public static Call remove(String address, String pathAndQuery, long timeoutMs) {
		return new Call("DELETE", address, pathAndQuery, List.of(), NO_BODY, timeoutMs, false);
	}

	/**
	 * A call with a JSON body on a kept connection.
	 * @param method the method
	 * @param address {@code HOST:PORT}
	 * @param pathAndQuery path and query
	 * @param json the body
	 * @param timeoutMs the whole call's limit
	 * @return the call
	 */
	public static Call json(String method, String address, String pathAndQuery, String json, long timeoutMs) {
		return new Call(method, address, pathAndQuery, List.of(Map.entry("content-type", "application/json")),
				json.getBytes(StandardCharsets.UTF_8), timeoutMs, false);
	}

	/**
	 * The same call with one more header.
	 * @param name the header
	 * @param value its value
	 * @return a new call
	 */
	public Call with(String name, String value) {
		List<Map.Entry<String, String>> more = new ArrayList<>(this.headers);
		more.add(Map.entry(name, value));
		return new Call(this.method, this.address, this.pathAndQuery, List.copyOf(more), this.body, this.timeoutMs,
				this.freshConnection);
	}

}
