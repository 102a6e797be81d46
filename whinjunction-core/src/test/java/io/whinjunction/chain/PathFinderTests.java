package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which engines a request passes through.
 */
class PathFinderTests {

	private static final ModelProfile PROFILE = MixedCards.PROFILE;

	@Test
	void aPathStaysInACompleteHomeDomain() {
		List<PathFinder.Candidate> engines = candidates(MixedCards.holding("a1", "a", MixedCards.A100, 0, 40),
				MixedCards.holding("a2", "a", MixedCards.A100, 40, 80),
				MixedCards.holding("b1", "b", MixedCards.A100, 0, 80));

		assertThat(ids(find(engines, "a"))).containsExactly("a1", "a2");
	}

	// Guards against events 450 ms apart: a layer gap in the home domain sent each
	// request's activations to another failure domain and back, and the shared
	// bandwidth carried a third of the load. A request that runs entirely in the
	// other domain sends only its text.
	@Test
	void aLayerGapInTheHomeDomainMovesTheWholePathElsewhere() {
		List<PathFinder.Candidate> engines = candidates(MixedCards.holding("a1", "a", MixedCards.A100, 0, 40),
				MixedCards.holding("a3", "a", MixedCards.A100, 44, 80),
				MixedCards.holding("b1", "b", MixedCards.A100, 0, 44),
				MixedCards.holding("b2", "b", MixedCards.A100, 44, 80));

		assertThat(ids(find(engines, "a"))).containsExactly("b1", "b2");
	}

	@Test
	void aPathCrossesFailureDomainsIfNoneIsComplete() {
		List<PathFinder.Candidate> engines = candidates(MixedCards.holding("a1", "a", MixedCards.A100, 0, 30),
				MixedCards.holding("b2", "b", MixedCards.A100, 20, 80));

		List<Hop> path = find(engines, "a").orElseThrow();

		assertThat(ids(Optional.of(path))).containsExactly("a1", "b2");
		assertThat(path.getFirst().layers().end()).isEqualTo(path.getLast().layers().first());
	}

	@Test
	void aPenaltyMovesThePathToAnotherEngine() {
		List<PathFinder.Candidate> engines = List.of(
				new PathFinder.Candidate(MixedCards.holding("full", "a", MixedCards.A100, 0, 80), 0.03, 100),
				new PathFinder.Candidate(MixedCards.holding("free", "a", MixedCards.L4, 0, 80), 0.2, 0));

		assertThat(ids(find(engines, "a"))).containsExactly("free");
	}

	@Test
	void aRemainingPathBeginsWhereTheFirstHopEnds() {
		Engine first = MixedCards.holding("a1", "a", MixedCards.A100, 0, 40);
		List<PathFinder.Candidate> engines = candidates(MixedCards.holding("b1", "b", MixedCards.A100, 0, 80),
				MixedCards.holding("a2", "a", MixedCards.A100, 30, 80));

		List<Hop> rest = PathFinder.find(PROFILE, engines, PathFinder.Start.after(new Hop(first, first.held())))
			.orElseThrow();

		assertThat(rest).hasSize(1);
		assertThat(rest.getFirst().engine().id()).isEqualTo("a2");
		assertThat(rest.getFirst().layers().first()).isEqualTo(40);
	}

	@Test
	void aPathBeginsOnlyAtAPermittedEngine() {
		List<PathFinder.Candidate> engines = candidates(MixedCards.holding("a1", "a", MixedCards.A100, 0, 80),
				MixedCards.holding("b1", "b", MixedCards.A100, 0, 80));

		Optional<List<Hop>> path = PathFinder.find(PROFILE, engines,
				PathFinder.Start.full("a", (engine) -> engine.id().equals("b1")));

		assertThat(ids(path)).containsExactly("b1");
	}

	@Test
	void aLayerWithoutHolderMeansNoPath() {
		assertThat(find(candidates(MixedCards.holding("a1", "a", MixedCards.A100, 0, 79)), "a")).isEmpty();
	}

	@Property(tries = 300)
	void eachLayerRunsOnceInOrderAndNoEngineOccursTwice(@ForAll long seed) {
		find(randomEngines(new Random(seed)), "d0").ifPresent((path) -> {
			int next = 0;
			Set<String> seen = new HashSet<>();
			for (Hop hop : path) {
				assertThat(hop.layers().first()).isEqualTo(next);
				assertThat(hop.layers().first()).isGreaterThanOrEqualTo(hop.engine().held().first());
				assertThat(hop.layers().end()).isLessThanOrEqualTo(hop.engine().held().end());
				assertThat(seen.add(hop.engine().id())).isTrue();
				next = hop.layers().end();
			}
			assertThat(next).isEqualTo(80);
			assertThat(path).hasSizeLessThanOrEqualTo(PathFinder.MAX_HOPS);
		});
	}

	// Guards against an engine of a larger model that makes all requests be refused, as
	// paths had to reach its last layer.
	@Property(tries = 300)
	void anEngineWithOtherLayersThanTheModelsChangesNoPath(@ForAll long seed) {
		Random random = new Random(seed);
		List<PathFinder.Candidate> engines = randomEngines(random);
		Optional<List<Hop>> path = find(engines, "d0");
		for (int index = 0; index < 3; index++) {
			int first = random.nextInt(200);
			int end = Math.max(first, 80) + 1 + random.nextInt(100);
			Engine engine = MixedCards.holding("other" + index, "d" + random.nextInt(5), MixedCards.A100, first, end);
			engines.add(new PathFinder.Candidate(engine, 0, 0));
		}

		assertThat(find(engines, "d0")).isEqualTo(path);
	}

	private static List<PathFinder.Candidate> randomEngines(Random random) {
		List<PathFinder.Candidate> engines = new ArrayList<>();
		for (int index = 0; index < 40; index++) {
			int first = random.nextInt(79);
			int end = first + 1 + random.nextInt(Math.min(30, 80 - first));
			Engine engine = MixedCards.holding("e" + index, "d" + index % 3, MixedCards.V100, first, end);
			engines.add(new PathFinder.Candidate(engine, random.nextDouble(), random.nextInt(5)));
		}
		return engines;
	}

	private static Optional<List<Hop>> find(List<PathFinder.Candidate> engines, String home) {
		return PathFinder.find(PROFILE, engines, PathFinder.Start.full(home, (engine) -> true));
	}

	private static List<PathFinder.Candidate> candidates(Engine... engines) {
		List<PathFinder.Candidate> candidates = new ArrayList<>();
		for (Engine engine : engines) {
			candidates.add(new PathFinder.Candidate(engine, PROFILE.layerStepMs(engine.kind(), 0), 0));
		}
		return candidates;
	}

	private static List<String> ids(Optional<List<Hop>> path) {
		return path.orElseThrow().stream().map((hop) -> hop.engine().id()).toList();
	}

}
