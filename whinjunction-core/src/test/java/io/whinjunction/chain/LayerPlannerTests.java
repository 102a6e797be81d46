package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Orders at the start and after a loss.
 */
class LayerPlannerTests {

	@Test
	void anEmptyFailureDomainGetsEachLayerOnceAndKeepsSpares() {
		List<Engine> engines = MixedCards.emptyDomain("a");

		List<Engine> after = plan(engines);

		assertThat(MixedCards.coverage(after)).containsOnly(1);
		assertThat(after.stream().filter((engine) -> engine.held() == null)).hasSize(3);
		assertThat(MixedCards.minCapacity(after)).isGreaterThan(100_000);
	}

	// Guards against a large failure domain that serves no more than a small one: of
	// 300 engines 20 held two replicas, the rest stayed empty, and any loss hit half
	// of the streams. Most engines must serve, in many replicas, and some stay empty
	// for losses.
	@Test
	void aLargeFailureDomainHoldsManyReplicasAndKeepsSomeEnginesEmpty() {
		List<Engine> engines = new ArrayList<>();
		for (int index = 0; index < 20; index++) {
			MixedCards.emptyDomain("a")
				.forEach((engine) -> engines
					.add(MixedCards.empty(engine.id() + "-" + engines.size(), "a", engine.kind())));
		}

		List<Engine> after = plan(engines);

		assertThat(MixedCards.coverage(after)).satisfies((coverage) -> {
			for (int times : coverage) {
				assertThat(times).isBetween(12, 25);
			}
		});
		long empty = after.stream().filter((engine) -> engine.held() == null).count();
		assertThat(empty).isBetween(60L, 90L);
	}

	@Test
	void thePlanIsIndependentOfTheOrderOfEngines() {
		List<Engine> engines = MixedCards.emptyDomain("a");
		List<Engine> shuffled = new ArrayList<>(engines);
		Collections.shuffle(shuffled, new Random(7));

		assertThat(LayerPlanner.plan(MixedCards.PROFILE, shuffled))
			.containsExactlyInAnyOrderElementsOf(LayerPlanner.plan(MixedCards.PROFILE, engines));
	}

	// Guards against refusals and gaps of seconds for the rest of the day. The engine
	// with 25 layers leaves, and the first three empty engines took 11, 11 and 3 of
	// them, so that the tightest engine of each path had capacity for 20 requests
	// instead of 100. The layers have to be divided so that the path keeps about its
	// capacity.
	@Test
	void whenTheLargestEngineIsLostTheEmptyOnesShareItsLayersAndKeepCapacity() {
		List<Engine> before = plan(MixedCards.emptyDomain("a"));
		List<Engine> without = before.stream().filter((engine) -> !engine.id().equals("a-a")).toList();

		List<Engine> after = plan(without);

		assertThat(MixedCards.coverage(after)).containsOnly(1);
		assertThat(MixedCards.minCapacity(after)).isGreaterThan(MixedCards.minCapacity(before) / 2);
	}

	@Test
	void aSmallGapTakesOneEmptyEngine() {
		List<Engine> before = plan(MixedCards.emptyDomain("a"));
		Engine lost = before.stream().filter((engine) -> engine.id().equals("a-v3")).findFirst().orElseThrow();
		List<Engine> without = before.stream().filter((engine) -> engine != lost).toList();

		List<Placement> orders = LayerPlanner.plan(MixedCards.PROFILE, without);

		assertThat(orders).hasSize(1);
		assertThat(orders.getFirst().layers()).isEqualTo(lost.held());
		assertThat(orders.getFirst().engine().held()).isNull();
	}

	// No engine is empty, so the two beside the gap load its layers while they serve
	// their own: requests see no more than a detour of one second.
	@Test
	void withoutAnEmptyEngineTheNeighboursExtend() {
		List<Engine> engines = List.of(MixedCards.holding("1", "a", MixedCards.A100, 0, 20),
				MixedCards.holding("3", "a", MixedCards.A100, 30, 50),
				MixedCards.holding("4", "a", MixedCards.A100, 50, 80));

		List<Engine> after = plan(plan(engines));

		assertThat(MixedCards.coverage(after)).containsOnly(1);
	}

	@Test
	void aLeavingEngineIsReplacedBeforeItIsGone() {
		List<Engine> before = plan(MixedCards.emptyDomain("a"));
		List<Engine> leaving = before.stream()
			.map((engine) -> engine.id().equals("a-v3") ? MixedCards.with(engine, engine.held(), true) : engine)
			.toList();

		assertThat(LayerPlanner.plan(MixedCards.PROFILE, leaving)).hasSize(1);
	}

	// Guards against congestion in which 17 of 100 requests are on time: 133 requests
	// wait at an engine whose memory is full while engines beside it are empty. One
	// of them loads a copy of some of its layers, and one stays empty for the next
	// loss.
	@Test
	void aCongestedEngineIsRelievedByAnEmptyOneAndOneStaysEmpty() {
		List<Engine> engines = plan(MixedCards.emptyDomain("a"));
		int copies = 0;
		List<Placement> orders = relieve(engines, 0.9);
		while (!orders.isEmpty()) {
			assertThat(orders).hasSize(1);
			assertThat(orders.getFirst().layers().first()).isLessThan(25);
			engines = MixedCards.apply(engines, orders);
			copies++;
			orders = relieve(engines, 0.9);
		}

		assertThat(copies).isEqualTo(2);
		assertThat(engines.stream().filter((engine) -> engine.held() == null)).hasSize(1);
		assertThat(relieve(plan(MixedCards.emptyDomain("a")), 0.5)).isEmpty();
	}

	private static List<Placement> relieve(List<Engine> engines, double usedRatio) {
		return LayerPlanner.relieve(MixedCards.PROFILE, engines,
				(engine) -> engine.id().equals("a-a") ? usedRatio : 0.1);
	}

	@Test
	void nothingIsOrderedWhereNothingIsMissing() {
		assertThat(LayerPlanner.plan(MixedCards.PROFILE, plan(MixedCards.emptyDomain("a")))).isEmpty();
	}

	@Test
	void failureDomainsArePlannedIndependently() {
		List<Engine> engines = Stream.concat(MixedCards.emptyDomain("a").stream(), MixedCards.emptyDomain("b").stream())
			.toList();

		assertThat(MixedCards.coverage(plan(engines))).containsOnly(2);
	}

	@Property(tries = 60)
	void noEngineIsOrderedToExceedItsMemoryOrToUnloadLayers(@ForAll @IntRange(min = 0, max = 1 << 14) int losses) {
		List<Engine> engines = plan(MixedCards.emptyDomain("a"));
		for (int bit = 0; bit < 14; bit++) {
			if ((losses >> bit & 1) == 1) {
				engines = remove(engines, bit);
				engines = checked(engines, LayerPlanner.plan(MixedCards.PROFILE, engines));
			}
		}
	}

	// Guards against orders that count on an engine with layers that the model does not
	// have.
	@Property(tries = 60)
	void anEngineWithOtherLayersThanTheModelsChangesNoPlan(@ForAll @IntRange(min = 0, max = 13) int lost,
			@ForAll @IntRange(min = 0, max = 150) int first, @ForAll @IntRange(min = 81, max = 200) int end) {
		List<Engine> engines = remove(plan(MixedCards.emptyDomain("a")), lost);
		List<Engine> withOther = new ArrayList<>(engines);
		withOther.add(MixedCards.holding("other", "a", MixedCards.A100, first, Math.max(first + 1, end)));

		assertThat(LayerPlanner.plan(MixedCards.PROFILE, withOther))
			.isEqualTo(LayerPlanner.plan(MixedCards.PROFILE, engines));
		assertThat(LayerPlanner.relieve(MixedCards.PROFILE, withOther, (engine) -> 0.7))
			.isEqualTo(LayerPlanner.relieve(MixedCards.PROFILE, engines, (engine) -> 0.7));
	}

	private static List<Engine> remove(List<Engine> engines, int index) {
		List<Engine> left = new ArrayList<>(engines);
		left.remove(index % left.size());
		return left;
	}

	private static List<Engine> checked(List<Engine> engines, List<Placement> orders) {
		for (Placement order : orders) {
			int layers = order.layers().end() - order.layers().first();
			assertThat(layers * MixedCards.PROFILE.layerMb()).isLessThan(order.engine().kind().memoryMb());
			if (order.engine().held() != null) {
				assertThat(order.layers().first()).isLessThanOrEqualTo(order.engine().held().first());
				assertThat(order.layers().end()).isGreaterThanOrEqualTo(order.engine().held().end());
			}
		}
		return MixedCards.apply(engines, orders);
	}

	private static List<Engine> plan(List<Engine> engines) {
		return MixedCards.apply(engines, LayerPlanner.plan(MixedCards.PROFILE, engines));
	}

}
