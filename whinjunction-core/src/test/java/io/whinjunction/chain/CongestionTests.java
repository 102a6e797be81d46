package io.whinjunction.chain;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a crowded engine costs.
 */
class CongestionTests {

	@Property
	void moreCrowdedCostsMore(@ForAll @DoubleRange(min = 0, max = 2) double one,
			@ForAll @DoubleRange(min = 0, max = 2) double other) {
		assertThat(Congestion.costMs(Math.max(one, other))).isGreaterThanOrEqualTo(Congestion.costMs(Math.min(one, other)));
	}

	// A copy of a third of a fast engine's layers on a slow one costs 1.7 ms more a step;
	// it is of use only if a nearly full engine costs more than that for a third of its
	// layers.
	@Test
	void aNearlyFullEngineCostsMoreThanASlowCopyOfAThirdOfIt() {
		double slowerMs = 9 * (MixedCards.PROFILE.layerStepMs(MixedCards.L4, 50)
				- MixedCards.PROFILE.layerStepMs(MixedCards.A100, 50));

		assertThat(Congestion.costMs(0.95) / 3).isGreaterThan(slowerMs);
		assertThat(Congestion.costMs(0.3) / 3).isLessThan(slowerMs);
	}

	// Streams stand still for two seconds: an engine with room for twenty requests is
	// sent more by eight routers, each of which knows what the others did a quarter of a
	// second ago. What may have come since is kept free, and it is a larger part of a
	// small room.
	@Test
	void aSmallRoomCountsAsFullSooner() {
		assertThat(Congestion.full(0.8, 100_000)).isFalse();
		assertThat(Congestion.full(0.95, 100_000)).isTrue();
		assertThat(Congestion.full(0.8, 20_000)).isTrue();
	}

}
