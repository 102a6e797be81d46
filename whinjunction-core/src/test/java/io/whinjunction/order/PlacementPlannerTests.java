package io.whinjunction.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Place;
import io.whinjunction.configuration.Service;
import io.whinjunction.order.PlacementPlanner.Move;
import io.whinjunction.pipeline.Upstream;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlacementPlanner}.
 */
class PlacementPlannerTests {

	private static final LayerRange LOWER = new LayerRange(0, 8);

	private static final LayerRange UPPER = new LayerRange(8, 16);

	private static final Configuration WANTED = new Configuration(1,
			Map.of("poa", new Place("poa", "rs", Set.of("poa-a")), "cxs", new Place("cxs", "rs", Set.of("cxs-a"))),
			Map.of("llm", new Service.Model("llm", 16, List.of(LOWER, UPPER), true, 2, 1000, 1000)), Map.of());

	@Test
	void noOrderIsPlannedIfEveryRangeHasItsHolders() {
		assertThat(plan(4, 0, held("a", LOWER), held("b", LOWER), held("c", UPPER), held("d", UPPER), spare("s")))
			.isEmpty();
	}

	@Test
	void aLostHolderIsReplacedByASpare() {
		assertThat(plan(4, 0, held("a", LOWER), held("c", UPPER), held("d", UPPER), spare("s"))).singleElement()
			.satisfies((move) -> {
				assertThat(move.upstream().id()).isEqualTo("s");
				assertThat(move.range()).isEqualTo(LOWER);
			});
	}

	@Test
	void aRangeWithoutAnyHolderComesFirst() {
		assertThat(plan(1, 0, held("a", LOWER), spare("s"), spare("t"))).singleElement()
			.extracting(Move::range)
			.isEqualTo(UPPER);
	}

	// The last holders of the upper layers crash and there is no spare. Without the move
	// the entire model would stall although the lower layers have two holders.
	@Test
	void withoutASpareARangeWithoutHoldersGetsOneOfTheLargestRange() {
		assertThat(plan(4, 0, held("a", LOWER), held("b", LOWER))).singleElement()
			.extracting(Move::range)
			.isEqualTo(UPPER);
	}

	// Regression: spares had replaced engines that later returned. Their ranges had one
	// surplus holder, and no spare was left when another range lost a holder.
	@Test
	void withoutASpareASurplusHolderFillsALayerGap() {
		assertThat(plan(4, 0, held("a", LOWER), held("b", LOWER), held("b2", LOWER), held("c", UPPER))).singleElement()
			.extracting(Move::range)
			.isEqualTo(UPPER);
	}

	@Test
	void noRangeIsReducedBelowItsDesiredSizeToFillAnother() {
		assertThat(plan(4, 0, held("a", LOWER), held("b", LOWER), held("c", UPPER))).isEmpty();
	}

	// A failure domain is lost and many engines must read weights. The weight store has a
	// limited rate, so orders are held back instead of being issued all at once.
	@Test
	void ordersAreBoundedByTheWeightStoresRate() {
		assertThat(plan(3, 2, spare("s"), spare("t"), spare("u"), spare("v"))).hasSize(1);
		assertThat(plan(3, 3, spare("s"), spare("t"))).isEmpty();
	}

	@Test
	void aLeavingHolderCountsAsGone() {
		Upstream leaving = new Upstream("b", "llm", "h:1", "poa-a", LOWER, 1, 1, 0, true);
		assertThat(plan(4, 0, held("a", LOWER), leaving, held("c", UPPER), held("d", UPPER), spare("s"))).hasSize(1);
	}

	@Test
	void aSpareInThePlaceWithFewerHoldersIsPreferred() {
		Upstream far = new Upstream("z", "llm", "h:1", "cxs-a", null, 1, 1, 0, false);
		assertThat(plan(4, 0, held("a", LOWER), held("c", UPPER), held("d", UPPER), spare("s"), far)).singleElement()
			.extracting((move) -> move.upstream().id())
			.isEqualTo("z");
	}

	private static List<Move> plan(int maxLoading, int loading, Upstream... upstreams) {
		return PlacementPlanner.plan(WANTED, new ArrayList<>(List.of(upstreams)), maxLoading, loading);
	}

	private static Upstream held(String id, LayerRange range) {
		return new Upstream(id, "llm", "h:1", "poa-a", range, 1, 1, 0, false);
	}

	private static Upstream spare(String id) {
		return held(id, null);
	}

}
