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
	void anEntryThatNeverSawTheConfigurationRefuses() {
		assertThat(this.freshness.mayServe(0)).isFalse();
		this.freshness.exchanged(0, true);
		assertThat(this.freshness.mayServe(0)).isFalse();
	}

	@Test
	void aProofHoldsForTheBoundFromWhenItWasAskedFor() {
		this.freshness.confirmed(1000);
		assertThat(this.freshness.mayServe(1000 + BOUND_MS)).isTrue();
		assertThat(this.freshness.mayServe(1001 + BOUND_MS)).isFalse();
	}

	// The platform is down for an hour: nobody can change the configuration, and callers
	// must still be served while the fleet can see itself.
	@Test
	void duringAnOutageTheLargerPartOfTheFleetServesOn() {
		this.freshness.confirmed(0);
		this.freshness.exchanged(3_600_000, true);
		assertThat(this.freshness.mayServe(3_600_000 + BOUND_MS)).isTrue();
	}

	// The entry is cut off with few others. Elsewhere a place rule may be tightened, so
	// it has to refuse although it still exchanges with those few.
	@Test
	void theSmallerPartOfACutFleetRefuses() {
		this.freshness.confirmed(0);
		this.freshness.exchanged(20_000, false);
		assertThat(this.freshness.mayServe(20_000)).isFalse();
	}

	// The entry is paused and resumed. Its own view still shows a whole fleet, but it has
	// heard nothing for the pause, so it refuses until it has asked somebody.
	@Test
	void aResumedEntryRefusesUntilItHasAskedAgain() {
		this.freshness.confirmed(0);
		this.freshness.exchanged(0, true);
		assertThat(this.freshness.mayServe(60_000)).isFalse();
		this.freshness.exchanged(60_000, true);
		assertThat(this.freshness.mayServe(60_001)).isTrue();
	}

	@Test
	void aLateAnswerDoesNotMakeTheEntryLookFresher() {
		this.freshness.confirmed(5000);
		this.freshness.confirmed(1000);
		assertThat(this.freshness.ageMs(6000)).isEqualTo(1000);
	}

}
