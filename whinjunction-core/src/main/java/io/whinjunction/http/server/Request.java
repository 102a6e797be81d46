package io.whinjunction.http.server;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A request as sent by the caller. Immutable; the body is never copied or logged.
 *
 * @param method the method
 * @param path the path, still percent-encoded, without the query
 * @param query the query without its question mark; empty for none
 * @param headers the headers in order, names in lower case
 * @param body the body; empty for none
 */
public record Request(String method, String path, String query, List<Map.Entry<String, String>> headers, byte[] body) {

	/**
	 * Returns the first value of a header.
	 * @param name the header name in lower case
	 * @return the value, or empty if the header is absent
	 */
	public Optional<String> header(String name) {
		for (Map.Entry<String, String> header : this.headers) {
			if (header.getKey().equals(name)) {
				return Optional.of(header.getValue());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns a query parameter without decoding it.
	 * @param name the parameter name
	 * @return the value, or empty if the parameter is absent
	 */
	public Optional<String> parameter(String name) {
		for (String pair : this.query.split("&")) {
			if (pair.startsWith(name + "=")) {
				return Optional.of(pair.substring(name.length() + 1));
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the body decoded as UTF-8.
	 * @return the text, with malformed bytes replaced
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
