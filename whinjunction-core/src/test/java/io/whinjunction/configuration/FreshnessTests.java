package io.whinjunction.configuration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Freshness}.
 */
class FreshnessTests {

	private static final long BOUND_MS = 8000;

	private final Freshness freshness = new Freshness(BOUND_MS);

	@Test
	void anEntryThatNeverReceivedAConfigurationRefuses() {
		assertThat(this.freshness.mayServe(0)).isFalse();
		this.freshness.exchanged(0, true);
		assertThat(this.freshness.mayServe(0)).isFalse();
	}

	@Test
	void aProofIsValidForTheBoundFromItsRequest() {
		this.freshness.confirmed(1000);
		assertThat(this.freshness.mayServe(1000 + BOUND_MS)).isTrue();
		assertThat(this.freshness.mayServe(1001 + BOUND_MS)).isFalse();
	}

	// The platform is down for an hour: the configuration cannot be changed, and callers
	// must still be served while the majority of the fleet can exchange state.
	@Test
	void duringAnOutageTheMajorityContinuesToServe() {
		this.freshness.confirmed(0);
		this.freshness.exchanged(3_600_000, true);
		assertThat(this.freshness.mayServe(3_600_000 + BOUND_MS)).isTrue();
	}

	// The entry is partitioned together with a few others. A place rule may be tightened
	// on the other side, so it must refuse although it still exchanges state with those
	// few.
	@Test
	void theMinorityOfAPartitionedFleetRefuses() {
		this.freshness.confirmed(0);
		this.freshness.exchanged(20_000, false);
		assertThat(this.freshness.mayServe(20_000)).isFalse();
	}

	// The entry is paused and resumed. Its view still shows the complete fleet, but it
	// has received nothing during the pause, so it refuses until it has exchanged state
	// with a peer.
	@Test
	void aResumedEntryRefusesUntilItsNextExchange() {
		this.freshness.confirmed(0);
		this.freshness.exchanged(0, true);
		assertThat(this.freshness.mayServe(60_000)).isFalse();
		this.freshness.exchanged(60_000, true);
		assertThat(this.freshness.mayServe(60_001)).isTrue();
	}

	@Test
	void aLateResponseDoesNotMakeTheEntryAppearFresher() {
		this.freshness.confirmed(5000);
		this.freshness.confirmed(1000);
		assertThat(this.freshness.ageMs(6000)).isEqualTo(1000);
	}

}
