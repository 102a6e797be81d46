package io.whinjunction.http.server;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and keeps conflicting length headers. Netty's decoder drops a
 * content-length that accompanies a transfer-encoding, so that
 * {@link RequestHeadValidator} would not see the conflict and would accept a request
 * whose body another intermediary may have ended elsewhere. One per connection.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {

	/**
	 * Creates a decoder.
	 * @param config its limits
	 */
	public StrictRequestDecoder(HttpDecoderConfig config) {
		super(config);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Keeps both headers, so that HeadGuard can refuse the request.
	}

}
