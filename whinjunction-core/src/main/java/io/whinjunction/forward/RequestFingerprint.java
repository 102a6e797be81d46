package io.whinjunction.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * What a request has in common with those that repeat it under other ids: its caller,
 * method, host, path, query and body. Immutable.
 * <p>
 * Two checksums of 32 bits make it up, which is enough to tell the requests of one caller
 * apart and cheap enough for each request; it is no protection from a caller that looks
 * for a collision, who could only hit its own requests.
 *
 * @param value the fingerprint
 */
public record RequestFingerprint(long value) {

	/**
	 * Of a longer body this much counts, in bytes: the rest isn't there yet when the
	 * request is sent on.
	 */
	private static final int MOST_BODY_BYTES = 32_768;

	private static final int CHECKSUM_BITS = 32;

	/**
	 * Takes a request's fingerprint.
	 * @param caller who sends it, whatever key it uses; empty where callers have no names
	 * @param method the HTTP method
	 * @param host the host that it is for
	 * @param uri path and query
	 * @param body the body, or as much of it as is there; its position stays
	 * @return the fingerprint
	 */
	public static RequestFingerprint of(String caller, String method, String host, String uri, ByteBuffer body) {
		byte[] head = String.join("\n", caller, method, host, uri, "").getBytes(StandardCharsets.UTF_8);
		ByteBuffer counted = body.slice(body.position(), Math.min(body.remaining(), MOST_BODY_BYTES));
		CRC32C high = new CRC32C();
		high.update(head);
		high.update(counted.duplicate());
		CRC32 low = new CRC32();
		low.update(head);
		low.update(counted);
		return new RequestFingerprint(high.getValue() << CHECKSUM_BITS | low.getValue());
	}

	/**
	 * Reads what {@link #toString()} wrote.
	 * @param text 16 hexadecimal digits
	 * @return the fingerprint, or empty where the text is none
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
