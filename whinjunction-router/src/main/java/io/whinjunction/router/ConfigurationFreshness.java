package io.whinjunction.router;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether a read of the configuration proves that it is the newest.
 * <p>
 * The failures it guards against: the store has come back from an older copy, and a
 * router takes what it reads there for the newest configuration. One that starts knows no
 * later version itself, so it asks others first; while another router has a later one in
 * force, nothing earlier is proved; and for the time that operators need to write theirs
 * again, no read proves anything, since a later one may have been accepted and lost.
 * <p>
 * Times are of the clock of proofs. Confined to the event loop.
 */
final class ConfigurationFreshness {

	/**
	 * How long after the store came back operators may take to write their newest
	 * configuration again, as a part of the age up to which a proof is good: that of
	 * before holds meanwhile.
	 */
	private static final double WRITTEN_AGAIN_PART = 0.4;

	/** How many others' word is enough: some of them may be behind themselves. */
	private static final int MOST_CONSULTED = 8;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final StoreEra era;

	private final long proofGoodMs;

	private final Set<String> consulted = new HashSet<>();

	private int toConsult = MOST_CONSULTED;

	private boolean confirmed;

	private long latestHeard = -1;

	private long latestHeardAtMs = NEVER_MS;

	private long returnedAtMs = NEVER_MS;

	/**
	 * Nobody was heard yet.
	 * @param era the era of the store
	 * @param proofGoodMs the age up to which a proof is good for keys, in milliseconds
	 */
	ConfigurationFreshness(StoreEra era, long proofGoodMs) {
		this.era = era;
		this.proofGoodMs = proofGoodMs;
	}

	/**
	 * Hears which version another router has in force.
	 * @param version the version; -1 where it has none
	 * @param address where that router takes messages
	 * @param nowMs the time
	 */
	void peerVersionReceived(long version, String address, long nowMs) {
		if (version >= latest(nowMs)) {
			this.latestHeard = version;
			this.latestHeardAtMs = nowMs;
		}
		if (version >= 0 && !this.confirmed) {
			this.consulted.add(address);
			confirmWhereEnough();
		}
	}

	// Forgotten where nobody says so any more: a version that was never accepted would
	// keep keys from being honoured for good.
	private long latest(long nowMs) {
		return (nowMs - this.latestHeardAtMs < this.proofGoodMs) ? this.latestHeard : -1;
	}

	/**
	 * Whether another router has a later version in force.
	 * @param version the version that is known
	 * @param nowMs the time
	 * @return whether one said so lately
	 */
	boolean outdated(long version, long nowMs) {
		return version < latest(nowMs);
	}

	/**
	 * Other routers have been asked for what they know.
	 * @param routers how many
	 */
	void peersQueried(int routers) {
		this.toConsult = Math.min(routers, MOST_CONSULTED);
		confirmWhereEnough();
	}

	private void confirmWhereEnough() {
		this.confirmed |= this.consulted.size() >= this.toConsult;
	}

	/** Others have been waited for long enough: their answers may be lost. */
	void waitedEnough() {
		this.confirmed = true;
	}

	/**
	 * Whether what was read may be acted on, as far as other routers can tell.
	 * @return {@code false} while their word is waited for after a start
	 */
	boolean confirmed() {
		return this.confirmed || !this.era.known();
	}

	/**
	 * The store has come back from an older copy.
	 * @param ageMs how long ago that was heard, here or by another router of the same
	 * era, in milliseconds; -1 where it wasn't
	 * @param nowMs the time
	 */
	void storeRestored(long ageMs, long nowMs) {
		if (ageMs >= 0) {
			this.returnedAtMs = Math.max(this.returnedAtMs, nowMs - ageMs);
		}
	}

	/**
	 * How long ago the store came back.
	 * @param nowMs the time
	 * @return milliseconds; -1 where it did not, as far as is known, or long ago
	 */
	long restoreAgeMs(long nowMs) {
		long ageMs = nowMs - this.returnedAtMs;
		return (ageMs < writtenAgainMs()) ? ageMs : -1;
	}

	private long writtenAgainMs() {
		return (long) (WRITTEN_AGAIN_PART * this.proofGoodMs);
	}

	/**
	 * Whether a version that was read was the newest.
	 * @param version the version
	 * @param askedAtMs when it was asked for
	 * @param nowMs the time
	 * @return {@code false} where a later one may have been accepted
	 */
	boolean proves(long version, long askedAtMs, long nowMs) {
		return confirmed() && !outdated(version, nowMs) && askedAtMs - this.returnedAtMs >= writtenAgainMs();
	}

}
