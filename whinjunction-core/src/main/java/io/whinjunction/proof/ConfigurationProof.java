package io.whinjunction.proof;

/**
 * Decides whether this process may act on the keys of its configuration.
 * <p>
 * Guards against a router that continues to accept a revoked key because it is
 * partitioned or suspended, or because its watch delivers nothing. A silent watch proves
 * nothing. Only a linearizable read is a proof, and only for the time at which it was
 * sent, so that a delayed reply does not appear fresh. Times are taken from a clock that
 * counts suspensions; with one that does not, a machine resumed after an hour would
 * consider an old proof fresh.
 * <p>
 * Invariants: proof times only increase; the version that was proved never decreases. Not
 * thread-safe: confined to the event loop.
 */
public final class ConfigurationProof {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long keysBoundMs;

	private final long denialBoundMs;

	private long provedAtMs = NEVER;

	/**
	 * Creates an instance without a proof.
	 * @param keysBoundMs the maximum age of a proof for a key to be honoured, in
	 * milliseconds: the time within which a revoked key must stop working, less the time
	 * that a request may take from the check to the upstream
	 * @param denialBoundMs the maximum age of a proof for a request to be denied
	 * permanently, in milliseconds: the time within which an accepted configuration must
	 * be in force
	 */
	public ConfigurationProof(long keysBoundMs, long denialBoundMs) {
		this.keysBoundMs = keysBoundMs;
		this.denialBoundMs = denialBoundMs;
	}

	/**
	 * Returns the maximum age of a proof for a key to be honoured.
	 * @return the age in milliseconds
	 */
	public long keysBoundMs() {
		return this.keysBoundMs;
	}

	/**
	 * Records that the configuration in force was the newest.
	 * @param requestedAtMs when the read was sent, on a clock that counts suspensions
	 */
	public void recordProof(long requestedAtMs) {
		this.provedAtMs = Math.max(this.provedAtMs, requestedAtMs);
	}

	/**
	 * Returns the age of the last proof.
	 * @param nowMs the time, on the same clock
	 * @return the age in milliseconds; a very large number if there was none
	 */
	public long ageMs(long nowMs) {
		return nowMs - this.provedAtMs;
	}

	/**
	 * Returns whether a key may be honoured.
	 * @param nowMs the time, on the same clock
	 * @return {@code false} if it may have been revoked too long ago
	 */
	public boolean honoursKeys(long nowMs) {
		return ageMs(nowMs) < this.keysBoundMs;
	}

	/**
	 * Returns whether a request may be denied permanently because its route or key does
	 * not exist.
	 * @param nowMs the time, on the same clock
	 * @return {@code false} if it may have been added since
	 */
	public boolean allowsDenial(long nowMs) {
		return ageMs(nowMs) < this.denialBoundMs;
	}

}
