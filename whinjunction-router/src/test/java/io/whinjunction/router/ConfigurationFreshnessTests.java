package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which reads of the configuration prove that it is the newest.
 */
class ConfigurationFreshnessTests {

	private static final long PROOF_VALID_MS = 5000;

	private static final long NOW_MS = 100_000;

	private final StoreEra era = new StoreEra();

	private final ConfigurationFreshness freshness = new ConfigurationFreshness(this.era, PROOF_VALID_MS);

	@Test
	void aReadFromAStoreWithoutErasIsProofAtOnce() {
		assertThat(this.freshness.proves(4, NOW_MS, NOW_MS)).isTrue();
	}

	// A starting router reads an old version from the restored copy, and the first peer
	// that responds is outdated as well.
	@Test
	void oneOfSeveralPeersIsNotEnough() {
		receiveEra();
		this.freshness.peersQueried(2);
		this.freshness.peerVersionReceived(4, "10.0.0.1:1", NOW_MS);
		this.freshness.peerVersionReceived(4, "10.0.0.1:1", NOW_MS);
		assertThat(this.freshness.proves(4, NOW_MS, NOW_MS)).isFalse();

		this.freshness.peerVersionReceived(5, "10.0.0.2:1", NOW_MS);
		assertThat(this.freshness.confirmed()).isTrue();
		assertThat(this.freshness.proves(4, NOW_MS, NOW_MS)).isFalse();
		assertThat(this.freshness.proves(5, NOW_MS, NOW_MS)).isTrue();
	}

	@Test
	void aRouterWithoutPeersDoesNotWait() {
		receiveEra();
		this.freshness.peersQueried(0);

		assertThat(this.freshness.proves(4, NOW_MS, NOW_MS)).isTrue();
	}

	// A message names a version that never existed; keys would no longer be honoured.
	@Test
	void aLaterVersionThatNoPeerReportsAnyMoreExpires() {
		this.freshness.peerVersionReceived(Long.MAX_VALUE, "10.0.0.1:1", NOW_MS);
		assertThat(this.freshness.proves(4, NOW_MS, NOW_MS)).isFalse();

		long laterMs = NOW_MS + PROOF_VALID_MS;
		assertThat(this.freshness.proves(4, laterMs, laterMs)).isTrue();
	}

	// A key was revoked by a version that the store has lost and that no router has read.
	// The older copy cannot be distinguished from the newest version until operators have
	// written their configuration again.
	@Test
	void rightAfterARestoreNothingIsProvedAndTheRestoreIsReported() {
		this.freshness.storeRestored(0, NOW_MS);

		assertThat(this.freshness.proves(4, NOW_MS + 1, NOW_MS + 1)).isFalse();
		assertThat(this.freshness.restoreAgeMs(NOW_MS + 1)).isEqualTo(1);

		long laterMs = NOW_MS + PROOF_VALID_MS / 2;
		assertThat(this.freshness.proves(4, laterMs, laterMs)).isTrue();
		assertThat(this.freshness.restoreAgeMs(laterMs)).isEqualTo(-1);
	}

	private void receiveEra() {
		this.era.validate(this.era.unboundQuery(), 3, new StoreReply.Found<>(""));
	}

}
