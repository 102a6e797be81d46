package io.whinjunction.http.server;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads requests and hides nothing of their lengths. The library's own decoder drops a
 * content-length that stands beside a transfer-encoding, so that {@link RequestHeadValidator} could
 * not see the conflict and would let through what another reader on the way may have
 * ended elsewhere. One per connection.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {

	/**
	 * A decoder.
	 * @param config its limits
	 */
	public StrictRequestDecoder(HttpDecoderConfig config) {
		super(config);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Both headers stay for the guard to refuse.
	}

}
