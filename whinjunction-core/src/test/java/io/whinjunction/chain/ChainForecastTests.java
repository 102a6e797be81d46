package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.whinjunction.chain.ChainForecast.Stage;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Expected latency and capacity of a chain of engines.
 */
class ChainForecastTests {

	// The engines of one failure domain and their layers on a day of low load: 599
	// streams in 34 s had 45.8 ms between events of four tokens.
	@Test
	void theTimeBetweenEventsMatchesAMeasurementAtLowLoad() {
		ChainForecast forecast = ChainForecast.of(MixedCards.PROFILE, fifteenEngines(), 599 / 34.0);

		assertThat(4 * forecast.tokenMs()).isCloseTo(45.8, within(2.0));
	}

	@Property
	void aHigherRequestRateNeverReducesLatency(@ForAll @DoubleRange(min = 0, max = 60) double one,
			@ForAll @DoubleRange(min = 0, max = 60) double other) {
		ChainForecast less = ChainForecast.of(MixedCards.PROFILE, fifteenEngines(), Math.min(one, other));
		ChainForecast more = ChainForecast.of(MixedCards.PROFILE, fifteenEngines(), Math.max(one, other));

		assertThat(more.tokenMs()).isGreaterThanOrEqualTo(less.tokenMs());
		assertThat(more.concurrentRequests()).isGreaterThanOrEqualTo(less.concurrentRequests());
	}

	@Test
	void capacityIsBoundedByTheConcurrentRequestsOfAnEngine() {
		List<Stage> roomy = List.of(new Stage(MixedCards.A100, 14), new Stage(MixedCards.A100, 14),
				new Stage(MixedCards.A100, 13), new Stage(MixedCards.A100, 13), new Stage(MixedCards.A100, 13),
				new Stage(MixedCards.A100, 13));

		double capacity = ChainForecast.capacity(MixedCards.PROFILE, roomy);

		assertThat(ChainForecast.of(MixedCards.PROFILE, roomy, capacity).concurrentRequests()).isLessThan(135);
	}

	// Guards against serving no request at all: the only engines of a failure domain
	// are so slow that pauses exceed what callers are promised, and the plan rates
	// them as unusable.
	@Test
	void slowEnginesHavePositiveCapacity() {
		EngineKind slow = new EngineKind("slow", 90_000, 200, 20);
		ModelProfile profile = new ModelProfile("m", 80, 1750, 845_373, 1.02, 0.0066, 0.0088, 164_000, 4, 14, 6, 134,
				new ModelProfile.Transfer(42_268, 13_000), 775, 216, Map.of("slow", slow));

		assertThat(ChainForecast.capacity(profile, List.of(new Stage(slow, 40), new Stage(slow, 40)))).isPositive();
	}

	@Test
	void aChainWithoutFreeMemoryHasNoCapacity() {
		assertThat(ChainForecast.capacity(MixedCards.PROFILE, List.of(new Stage(MixedCards.V100, 9)))).isLessThan(0.01);
	}

	private static List<Stage> fifteenEngines() {
		List<Stage> stages = new ArrayList<>(List.of(new Stage(MixedCards.A100, 25)));
		for (int index = 0; index < 8; index++) {
			stages.add(new Stage(MixedCards.V100, 5));
		}
		stages
			.addAll(List.of(new Stage(MixedCards.V100, 4), new Stage(MixedCards.V100, 4), new Stage(MixedCards.L4, 7)));
		return stages;
	}

}
