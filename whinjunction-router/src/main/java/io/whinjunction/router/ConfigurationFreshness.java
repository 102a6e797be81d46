package io.whinjunction.router;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether a read of the configuration proves that it is the newest.
 * <p>
 * Guards against a router taking an outdated configuration for the newest one after the
 * store was restored from an older copy. A starting router has no later version of its
 * own, so it queries its peers first. While a peer reports a later version in force, no
 * earlier version is proved. For the time that operators need to write their
 * configuration again, no read proves anything, because a later version may have been
 * accepted and lost.
 * <p>
 * Times are on the clock of proofs. Confined to the event loop.
 */
final class ConfigurationFreshness {

	/**
	 * How long operators may take after a restore of the store to write their newest
	 * configuration again, as a ratio of the age up to which a proof is valid. The proof
	 * from before the restore stays valid meanwhile.
	 */
	private static final double REWRITE_PERIOD_RATIO = 0.4;

	/**
	 * Number of responding peers that suffices; it is more than one because peers may be
	 * outdated themselves.
	 */
	private static final int SUFFICIENT_PEERS = 8;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final StoreEra era;

	private final long proofValidMs;

	private final Set<String> respondedPeers = new HashSet<>();

	private int requiredPeers = SUFFICIENT_PEERS;

	private boolean confirmed;

	private long latestPeerVersion = -1;

	private long latestPeerVersionAtMs = NEVER_MS;

	private long restoredAtMs = NEVER_MS;

	/**
	 * Creates an instance without any reports of peers.
	 * @param era the era of the store
	 * @param proofValidMs the age up to which a proof is valid for keys, in milliseconds
	 */
	ConfigurationFreshness(StoreEra era, long proofValidMs) {
		this.era = era;
		this.proofValidMs = proofValidMs;
	}

	/**
	 * Processes the version that a peer has in force.
	 * @param version the version; -1 if it has none
	 * @param address the address at which the peer receives messages
	 * @param nowMs the current time
	 */
	void peerVersionReceived(long version, String address, long nowMs) {
		if (version >= latestPeerVersion(nowMs)) {
			this.latestPeerVersion = version;
			this.latestPeerVersionAtMs = nowMs;
		}
		if (version >= 0 && !this.confirmed) {
			this.respondedPeers.add(address);
			confirmIfSufficient();
		}
	}

	// Expires when no peer reports it any more: a reported version that was never
	// accepted would otherwise keep keys from being honoured permanently.
	private long latestPeerVersion(long nowMs) {
		return (nowMs - this.latestPeerVersionAtMs < this.proofValidMs) ? this.latestPeerVersion : -1;
	}

	/**
	 * Returns whether a peer has a later version in force.
	 * @param version the version to compare
	 * @param nowMs the current time
	 * @return whether a peer reported a later one recently
	 */
	boolean outdated(long version, long nowMs) {
		return version < latestPeerVersion(nowMs);
	}

	/**
	 * Notes that peers were queried for their versions.
	 * @param routers the number of peers queried
	 */
	void peersQueried(int routers) {
		this.requiredPeers = Math.min(routers, SUFFICIENT_PEERS);
		confirmIfSufficient();
	}

	private void confirmIfSufficient() {
		this.confirmed |= this.respondedPeers.size() >= this.requiredPeers;
	}

	/** Ends the wait for responses of peers, which may be lost. */
	void peerResponseTimedOut() {
		this.confirmed = true;
	}

	/**
	 * Returns whether the configuration may be acted on, judging by what peers report.
	 * @return {@code false} after a start, until peers have responded or the time for
	 * that is over
	 */
	boolean confirmed() {
		return this.confirmed || !this.era.known();
	}

	/**
	 * Notes that the store was restored from an older copy.
	 * @param ageMs how long ago this router or a peer of the same era learned of it, in
	 * milliseconds; -1 if it did not
	 * @param nowMs the current time
	 */
	void storeRestored(long ageMs, long nowMs) {
		if (ageMs >= 0) {
			this.restoredAtMs = Math.max(this.restoredAtMs, nowMs - ageMs);
		}
	}

	/**
	 * Returns how long ago the store was restored.
	 * @param nowMs the current time
	 * @return milliseconds; -1 if no restore is known or it was long ago
	 */
	long restoreAgeMs(long nowMs) {
		long ageMs = nowMs - this.restoredAtMs;
		return (ageMs < rewritePeriodMs()) ? ageMs : -1;
	}

	private long rewritePeriodMs() {
		return (long) (REWRITE_PERIOD_RATIO * this.proofValidMs);
	}

	/**
	 * Returns whether a read proves that its version is the newest.
	 * @param version the version read
	 * @param requestedAtMs when it was requested
	 * @param nowMs the current time
	 * @return {@code false} if a later version may have been accepted
	 */
	boolean proves(long version, long requestedAtMs, long nowMs) {
		return confirmed() && !outdated(version, nowMs) && requestedAtMs - this.restoredAtMs >= rewritePeriodMs();
	}

}
