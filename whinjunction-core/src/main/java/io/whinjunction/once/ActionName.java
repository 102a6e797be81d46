package io.whinjunction.once;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies an action that must not be repeated. Immutable.
 *
 * @param team the team
 * @param service the service
 * @param idempotencyKey the caller's key
 */
public record ActionName(String team, String service, String idempotencyKey) {

	/** The prefix of the keys of claims in the object API. */
	public static final String PREFIX = "once/";

	/**
	 * Returns the key of its claim in the object API. The idempotency key is hashed
	 * because it is caller data.
	 * @return the key
	 */
	public String objectKey() {
		return PREFIX + this.team + "/" + this.service + "/"
				+ sha256(this.idempotencyKey.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the SHA-256 hash in lower-case hexadecimal.
	 * @param bytes the parts to hash
	 * @return 64 digits
	 */
	public static String sha256(byte[]... bytes) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (byte[] part : bytes) {
				digest.update(part);
				// A separator, so that the boundaries between parts are part of the hash.
				digest.update((byte) 0);
			}
			return HexFormat.of().formatHex(digest.digest());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
