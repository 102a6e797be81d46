package io.whinjunction.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Place;
import io.whinjunction.configuration.Service;
import io.whinjunction.configuration.Team;
import io.whinjunction.pipeline.ChoicePolicy;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.PipelineChooser.Choice;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.time.Ticker;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlaceRules}.
 */
class PlaceRulesTests {

	@Test
	void anUnknownFailureDomainIsRefused() {
		PlaceRules rules = new PlaceRules(Configuration.EMPTY);
		assertThat(rules.permits(Set.of("poa"), "poa-a")).isFalse();
	}

	// Random places, teams and engines, some of which have failed, are in backoff,
	// are leaving or lie in a failure domain that belongs to no place. Whichever
	// remain, a team's data must go to its permitted places only, or the request is
	// refused.
	@Property(seed = "61", tries = 1000)
	void noFailureEverMovesDataToAPlaceThatIsNotAllowed(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		Map<String, Place> places = new HashMap<>();
		for (int i = 0; i < 3; i++) {
			places.put("p" + i, new Place("p" + i, "r", Set.of("d" + (2 * i), "d" + (2 * i + 1))));
		}
		Service.Model model = new Service.Model("llm", 8, List.of(new LayerRange(0, 4), new LayerRange(4, 8)), false, 1,
				1, 1);
		Configuration configuration = new Configuration(1, places, Map.of("llm", model), Map.of());
		Team team = new Team("t", Set.of(), Set.of("llm"),
				places.keySet().stream().filter((place) -> random.nextBoolean()).collect(Collectors.toSet()), 1, 1);
		UpstreamTable table = new UpstreamTable();
		table.replace(upstreams(model, random));
		table.all().keySet().forEach((id) -> applyRandomFault(table, id, random));
		PlaceRules rules = new PlaceRules(configuration);
		PipelineChooser chooser = new PipelineChooser(table, policy(random), Ticker.system(), random);
		if (chooser.pipeline(model, new Placement(team, rules), Set.of("u1")) instanceof Choice.Chosen chosen) {
			assertThat(chosen.pipeline().stages()).allSatisfy((stage) -> {
				String place = configuration.placeOf(stage.failureDomain()).map(Place::name).orElse("none");
				assertThat(team.places()).contains(place);
				assertThat(stage.id()).isNotEqualTo("u1");
				assertThat(stage.leaving()).isFalse();
			});
		}
	}

	private static List<Upstream> upstreams(Service.Model model, Random random) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			upstreams.add(new Upstream("u" + i, "llm", "h:" + i, "d" + random.nextInt(8),
					model.ranges().get(random.nextInt(2)), 1, random.nextInt(100), random.nextInt(5),
					random.nextInt(6) == 0));
		}
		return upstreams;
	}

	private static void applyRandomFault(UpstreamTable table, String id, Random random) {
		switch (random.nextInt(4)) {
			case 0 -> table.load(id).failed(Ticker.system().nowMs());
			case 1 -> table.load(id).start();
			case 2 -> table.markLeaving(id);
			default -> {
			}
		}
	}

	private static ChoicePolicy policy(Random random) {
		return random.nextBoolean() ? new ChoicePolicy.LeastExpectedDelay(8, 2, 0.5) : new ChoicePolicy.Uniform();
	}

}
