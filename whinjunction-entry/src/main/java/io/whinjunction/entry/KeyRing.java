package io.whinjunction.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.Team;

/**
 * Maps bearer keys to their teams.
 * <p>
 * Invariant: every hash is compared in constant time and none is skipped, so that the
 * duration of a lookup reveals nothing about a key. Immutable.
 */
final class KeyRing {

	private static final String SCHEME = "bearer ";

	private final List<KeyHash> hashes = new ArrayList<>();

	KeyRing(Configuration configuration) {
		for (Team team : configuration.teams().values()) {
			for (String hash : team.keyHashes()) {
				this.hashes.add(new KeyHash(HexFormat.of().parseHex(hash), team));
			}
		}
	}

	Optional<Team> teamOf(Optional<String> authorization) {
		if (authorization.isEmpty() || !authorization.get().regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return Optional.empty();
		}
		byte[] hash = sha256(authorization.get().substring(SCHEME.length()).strip());
		Team found = null;
		for (KeyHash candidate : this.hashes) {
			if (MessageDigest.isEqual(hash, candidate.hash())) {
				found = candidate.team();
			}
		}
		return Optional.ofNullable(found);
	}

	private static byte[] sha256(String key) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	private record KeyHash(byte[] hash, Team team) {
	}

}
