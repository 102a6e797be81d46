package io.whinjunction.router;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes hop-by-hop headers: those that concern a single connection and are never
 * forwarded. Stateless.
 */
public final class HopByHopHeaders {

	private static final List<CharSequence> NAMES = List.of(HttpHeaderNames.CONNECTION, "Keep-Alive",
			HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION, "Proxy-Connection",
			HttpHeaderNames.TE, HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE,
			HttpHeaderNames.EXPECT);

	private HopByHopHeaders() {
	}

	/**
	 * Copies headers without the hop-by-hop ones, which include those that {@code
	 * Connection} lists.
	 * @param headers the headers
	 * @return a new copy
	 */
	public static HttpHeaders strip(HttpHeaders headers) {
		HttpHeaders copy = new DefaultHttpHeaders(false);
		copy.add(headers);
		for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : listed.split(",")) {
				copy.remove(name.trim());
			}
		}
		NAMES.forEach(copy::remove);
		return copy;
	}

}
