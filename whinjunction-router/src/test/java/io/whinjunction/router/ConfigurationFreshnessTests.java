package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When a read of the configuration proves that it is the newest.
 */
class ConfigurationFreshnessTests {

	private static final long PROOF_GOOD_MS = 5000;

	private static final long NOW_MS = 100_000;

	private final StoreEra era = new StoreEra();

	private final ConfigurationFreshness trust = new ConfigurationFreshness(this.era, PROOF_GOOD_MS);

	@Test
	void aStoreThatNamesNoEraIsTrustedAtOnce() {
		assertThat(this.trust.proves(4, NOW_MS, NOW_MS)).isTrue();
	}

	// A router that starts reads an old version from the copy, and the first other one
	// that it hears is behind as well.
	@Test
	void oneOfSeveralOthersIsNotEnough() {
		knowEra();
		this.trust.peersQueried(2);
		this.trust.peerVersionReceived(4, "10.0.0.1:1", NOW_MS);
		this.trust.peerVersionReceived(4, "10.0.0.1:1", NOW_MS);
		assertThat(this.trust.proves(4, NOW_MS, NOW_MS)).isFalse();

		this.trust.peerVersionReceived(5, "10.0.0.2:1", NOW_MS);
		assertThat(this.trust.confirmed()).isTrue();
		assertThat(this.trust.proves(4, NOW_MS, NOW_MS)).isFalse();
		assertThat(this.trust.proves(5, NOW_MS, NOW_MS)).isTrue();
	}

	@Test
	void aRouterThatIsAloneWaitsForNobody() {
		knowEra();
		this.trust.peersQueried(0);

		assertThat(this.trust.proves(4, NOW_MS, NOW_MS)).isTrue();
	}

	// A message names a version that never was: keys would not be honoured any more.
	@Test
	void aLaterVersionThatNobodyNamesAnyMoreIsForgotten() {
		this.trust.peerVersionReceived(Long.MAX_VALUE, "10.0.0.1:1", NOW_MS);
		assertThat(this.trust.proves(4, NOW_MS, NOW_MS)).isFalse();

		long laterMs = NOW_MS + PROOF_GOOD_MS;
		assertThat(this.trust.proves(4, laterMs, laterMs)).isTrue();
	}

	// A key was taken away by a version that the store has lost, and no router has read
	// it: what the copy says seems to be the newest until operators have written again.
	@Test
	void rightAfterAReturnNothingIsProvedAndWhatWasProvedBeforeLasts() {
		this.trust.storeRestored(0, NOW_MS);

		assertThat(this.trust.proves(4, NOW_MS + 1, NOW_MS + 1)).isFalse();
		assertThat(this.trust.restoreAgeMs(NOW_MS + 1)).isEqualTo(1);

		long laterMs = NOW_MS + PROOF_GOOD_MS / 2;
		assertThat(this.trust.proves(4, laterMs, laterMs)).isTrue();
		assertThat(this.trust.restoreAgeMs(laterMs)).isEqualTo(-1);
	}

	private void knowEra() {
		this.era.validate(this.era.unboundQuery(), 3, new StoreReply.Found<>(""));
	}

}
