package io.whinjunction.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies requests that are repeats of each other under different ids: same caller,
 * method, host, path, query and body. Immutable.
 * <p>
 * Consists of a {@link Checksum}, which suffices to distinguish the requests of one
 * caller. It is no protection from a caller that constructs a collision, which could only
 * affect its own requests.
 *
 * @param value the fingerprint
 */
public record RequestFingerprint(long value) {

	/**
	 * Only this many bytes of a longer body count: the rest has not arrived when the
	 * request is forwarded.
	 */
	private static final int MAX_BODY_BYTES = 32_768;

	/**
	 * Computes the fingerprint of a request.
	 * @param caller the caller, whichever key it uses; empty if callers have no names
	 * @param method the HTTP method
	 * @param host the requested host
	 * @param uri the path and query
	 * @param body the body, or as much of it as has arrived; its position is unchanged
	 * @return the fingerprint
	 */
	public static RequestFingerprint of(String caller, String method, String host, String uri, ByteBuffer body) {
		byte[] head = String.join("\n", caller, method, host, uri, "").getBytes(StandardCharsets.UTF_8);
		ByteBuffer counted = body.slice(body.position(), Math.min(body.remaining(), MAX_BODY_BYTES));
		return new RequestFingerprint(Checksum.of(ByteBuffer.wrap(head), counted));
	}

	/**
	 * Parses the format written by {@link #toString()}.
	 * @param text 16 hexadecimal digits
	 * @return the fingerprint, or empty if the text is not a fingerprint
	 */
	public static Optional<RequestFingerprint> parse(String text) {
		if (text.length() != Long.BYTES * 2 || !text.chars().allMatch(HexFormat::isHexDigit)) {
			return Optional.empty();
		}
		return Optional.of(new RequestFingerprint(HexFormat.fromHexDigitsToLong(text)));
	}

	@Override
	public String toString() {
		return HexFormat.of().toHexDigits(this.value);
	}

}
