package io.whinjunction.http.server;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Checks whether a request's head may be forwarded.
 * <p>
 * Guards against request smuggling, where two recipients disagree on where a body ends
 * and one caller's request becomes part of another's. A head with both content-length and
 * transfer-encoding, an invalid length or an unparsable line is refused and its
 * connection is closed, so that no later byte can be misinterpreted. Stateless.
 */
public final class RequestHeadValidator {

	private RequestHeadValidator() {
	}

	/**
	 * Validates a head.
	 * @param head the head as decoded by {@link StrictRequestDecoder}
	 * @return a sentence that describes the problem, or empty if the head is valid
	 */
	public static Optional<String> problem(HttpRequest head) {
		if (head.decoderResult().isFailure()) {
			return Optional.of("The request's head cannot be read or is too large.");
		}
		boolean chunked = head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
		List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
		if (chunked && !lengths.isEmpty()) {
			return Optional.of("Both content-length and transfer-encoding are given; send one of them.");
		}
		if (lengths.size() > 1) {
			return Optional.of("More than one content-length is given; send one.");
		}
		if (chunked && !head.headers().get(HttpHeaderNames.TRANSFER_ENCODING).equalsIgnoreCase("chunked")) {
			return Optional.of("The only transfer-encoding taken is chunked.");
		}
		if (HttpVersion.HTTP_1_1.equals(head.protocolVersion()) && head.headers().getAll("host").size() != 1) {
			return Optional.of("Exactly one host header is required.");
		}
		return Optional.empty();
	}

}
