package io.whinjunction.router;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/**
 * Removes hop-by-hop headers: those that concern a single connection and are never
 * forwarded. Stateless.
 */
public final class HopByHopHeaders {

	private static final List<CharSequence> NAMES = List.of(HttpHeaderNames.CONNECTION,
			AsciiString.cached("keep-alive"), HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION,
			AsciiString.cached("proxy-connection"), HttpHeaderNames.TE, HttpHeaderNames.TRAILER,
			HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT);

	private HopByHopHeaders() {
	}

	/**
	 * Copies headers without the hop-by-hop ones, which include those that {@code
	 * Connection} lists.
	 * @param headers the headers
	 * @return a new copy
	 */
	public static HttpHeaders strip(HttpHeaders headers) {
		HttpHeaders copy = headers.copy();
		for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : listed.split(",")) {
				copy.remove(name.trim());
			}
		}
		NAMES.forEach(copy::remove);
		return copy;
	}

}
