package io.whinjunction.limit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SharedRate}.
 */
class SharedRateTests {

	@Test
	void aTokenIsReadyAfterOneIntervalOfTheRate() {
		SharedRate rate = new SharedRate(0, 1000);
		rate.setRate(0.5, 1000);

		assertThat(rate.ready(2999)).isFalse();
		assertThat(rate.ready(3000)).isTrue();
	}

	@Test
	void aRateOfZeroIsNeverReady() {
		SharedRate rate = new SharedRate(1, 0);
		rate.setRate(0, 0);

		assertThat(rate.ready(1_000_000)).isFalse();
	}

	@Test
	void aLowerRateAppliesAtOnce() {
		SharedRate rate = new SharedRate(0, 0);
		rate.setRate(10, 0);
		rate.setRate(0.1, 50);

		assertThat(rate.ready(200)).isFalse();
		assertThat(rate.ready(5050)).isTrue();
	}

	@Property(tries = 200)
	void noMoreIsTakenThanOneTokenPlusTheRateOverTheInterval(
			@ForAll @DoubleRange(min = 0.05, max = 50) double perSecond,
			@ForAll @DoubleRange(min = 0, max = 1) double saved, @ForAll @IntRange(min = 1, max = 400) int pauseMs,
			@ForAll @IntRange(min = 0, max = 60_000) int idleMs) {
		SharedRate rate = new SharedRate(saved, 0);
		rate.setRate(perSecond, 0);
		int taken = 0;
		for (long nowMs = idleMs; nowMs <= idleMs + 10_000; nowMs += pauseMs) {
			if (rate.ready(nowMs)) {
				rate.take(nowMs);
				taken++;
			}
		}

		assertThat((double) taken).isLessThanOrEqualTo(1 + 10 * perSecond + 1e-6);
	}

}
