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
 * Finds the team of a bearer key.
 * <p>
 * Invariant: every hash is compared in constant time and none is skipped, so that the
 * time taken tells nothing about a key. Immutable, safe for all threads.
 */
final class KeyRing {

	private static final String SCHEME = "bearer ";

	private final List<Entry> entries = new ArrayList<>();

	KeyRing(Configuration configuration) {
		for (Team team : configuration.teams().values()) {
			for (String hash : team.keyHashes()) {
				this.entries.add(new Entry(HexFormat.of().parseHex(hash), team));
			}
		}
	}

	Optional<Team> teamOf(Optional<String> authorization) {
		if (authorization.isEmpty() || !authorization.get().regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return Optional.empty();
		}
		byte[] hash = sha256(authorization.get().substring(SCHEME.length()).strip());
		Team found = null;
		for (Entry entry : this.entries) {
			if (MessageDigest.isEqual(hash, entry.hash())) {
				found = entry.team();
			}
		}
		return Optional.ofNullable(found);
	}

	private static byte[] sha256(String key) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	private record Entry(byte[] hash, Team team) {
	}

}
