package io.whinjunction.proof;

/**
 * Tells whether this process may act on the keys of its configuration.
 * <p>
 * The failure it is there for: a router that is cut off, suspended, or told nothing by a
 * silent watch goes on with a key that was taken away. A watch that says nothing proves
 * nothing; only a linearizable read does, and only for the moment at which it was sent,
 * so that a reply which was long on its way doesn't look fresh. Times are of a clock that
 * counts suspensions; with one that doesn't, a machine woken after an hour would take an
 * old proof for new.
 * <p>
 * Invariants: proof times only go up; the version that was proved never goes down. Not
 * safe for threads: confined to the event loop.
 */
public final class ConfigurationProof {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long keysBoundMs;

	private final long denialBoundMs;

	private long provedAtMs = NEVER;

	/**
	 * A proof with bounds.
	 * @param keysBoundMs how old a proof may be for a key to be honoured, in
	 * milliseconds; the time within which a key that was taken away must no longer work,
	 * less what a request may take from the check to the upstream
	 * @param denialBoundMs how old it may be for a request to be denied for good, in
	 * milliseconds; the time within which an accepted configuration must be in force
	 */
	public ConfigurationProof(long keysBoundMs, long denialBoundMs) {
		this.keysBoundMs = keysBoundMs;
		this.denialBoundMs = denialBoundMs;
	}

	/**
	 * How old a proof may be for a key to be honoured.
	 * @return milliseconds
	 */
	public long keysBoundMs() {
		return this.keysBoundMs;
	}

	/**
	 * The configuration in force was the newest.
	 * @param askedAtMs when that was asked, on a clock that counts suspensions
	 */
	public void recordProof(long askedAtMs) {
		this.provedAtMs = Math.max(this.provedAtMs, askedAtMs);
	}

	/**
	 * The age of the proof.
	 * @param nowMs the time, on the same clock
	 * @return milliseconds; a very large number where there was none
	 */
	public long ageMs(long nowMs) {
		return nowMs - this.provedAtMs;
	}

	/**
	 * Whether a key may be honoured.
	 * @param nowMs the time, on the same clock
	 * @return {@code false} where it may have been taken away too long ago
	 */
	public boolean honoursKeys(long nowMs) {
		return ageMs(nowMs) < this.keysBoundMs;
	}

	/**
	 * Whether a request may be denied for good because its route or key is not there.
	 * @param nowMs the time, on the same clock
	 * @return {@code false} where it may have been added meanwhile
	 */
	public boolean allowsDenial(long nowMs) {
		return ageMs(nowMs) < this.denialBoundMs;
	}

}
