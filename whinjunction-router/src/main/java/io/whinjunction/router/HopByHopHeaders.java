package io.whinjunction.router;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Headers that concern one connection only and are never passed on. Stateless.
 */
public final class HopByHopHeaders {

	private static final List<CharSequence> NAMES = List.of(HttpHeaderNames.CONNECTION, "Keep-Alive",
			HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION, "Proxy-Connection",
			HttpHeaderNames.TE, HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE,
			HttpHeaderNames.EXPECT);

	private HopByHopHeaders() {
	}

	/**
	 * Copies headers without those of one connection, also those that {@code Connection}
	 * names.
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
