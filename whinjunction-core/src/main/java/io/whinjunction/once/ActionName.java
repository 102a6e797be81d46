package io.whinjunction.once;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Names an action that must not be repeated. Immutable.
 *
 * @param team the team
 * @param service the service
 * @param idempotencyKey the caller's key
 */
public record ActionName(String team, String service, String idempotencyKey) {

	/** Where claims stand in the object API. */
	public static final String PREFIX = "once/";

	/**
	 * The key of its claim in the object API; the caller's key is hashed, since it is the
	 * caller's data.
	 * @return the key
	 */
	public String objectKey() {
		return PREFIX + this.team + "/" + this.service + "/"
				+ sha256(this.idempotencyKey.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * SHA-256 in lower-case hexadecimal.
	 * @param bytes what to hash
	 * @return 64 digits
	 */
	public static String sha256(byte[]... bytes) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (byte[] part : bytes) {
				digest.update(part);
				// A separator, so that parts cannot be shifted into each other.
				digest.update((byte) 0);
			}
			return HexFormat.of().formatHex(digest.digest());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
