package io.whinjunction.chain;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cost of a congested engine.
 */
class CongestionTests {

	@Property
	void higherCongestionCostsMore(@ForAll @DoubleRange(min = 0, max = 2) double one,
			@ForAll @DoubleRange(min = 0, max = 2) double other) {
		assertThat(Congestion.costMs(Math.max(one, other)))
			.isGreaterThanOrEqualTo(Congestion.costMs(Math.min(one, other)));
	}

	// A copy of a third of a fast engine's layers on a slow one costs 1.7 ms more per
	// step. It is useful only if a nearly full engine costs more than that for a
	// third of its layers.
	@Test
	void aNearlyFullEngineCostsMoreThanASlowCopyOfAThirdOfIt() {
		double slowerMs = 9 * (MixedCards.PROFILE.layerStepMs(MixedCards.L4, 50)
				- MixedCards.PROFILE.layerStepMs(MixedCards.A100, 50));

		assertThat(Congestion.costMs(0.95) / 3).isGreaterThan(slowerMs);
		assertThat(Congestion.costMs(0.3) / 3).isLessThan(slowerMs);
	}

	// Guards against streams that stall for two seconds: eight routers overfill an
	// engine with capacity for twenty requests, since each of them has reports of the
	// others that are a quarter of a second old. Capacity for unreported requests is
	// kept free, and it is a larger ratio of a small capacity.
	@Test
	void aSmallCapacityCountsAsFullSooner() {
		assertThat(Congestion.full(0.8, 100_000)).isFalse();
		assertThat(Congestion.full(0.95, 100_000)).isTrue();
		assertThat(Congestion.full(0.8, 20_000)).isTrue();
	}

}
