package io.whinjunction.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of which services have requests of different ranks.
 */
class RankedServiceTests {

	@Test
	void aServiceWhoseStreamsHaveOnePriorityIsNotRanked() {
		assertThat(ranked(List.of(stream(1, false), stream(1, false), plain(0)))).isFalse();
		assertThat(ranked(List.of(stream(-1, false)), team(-1))).isFalse();
	}

	@Test
	void aServiceWhoseStreamingRoutesDifferIsRanked() {
		assertThat(ranked(List.of(stream(0, false), stream(2, false)))).isTrue();
	}

	@Test
	void aServiceWhoseTeamsDifferFromItsRoutesIsRanked() {
		assertThat(ranked(List.of(stream(1, false)), team(0))).isTrue();
		assertThat(ranked(List.of(stream(1, false)), team(1))).isFalse();
		assertThat(ranked(List.of(stream(1, true)), team(0))).isFalse();
	}

	private static boolean ranked(List<Route> routes, RoutedTeam... teams) {
		return new RoutingConfiguration(1, routes, List.of(), CallerLimits.DEFAULT, true, List.of(teams)).ranked("s");
	}

	private static Route stream(int priority, boolean anonymous) {
		return route(RequestKind.STREAMING, priority, anonymous);
	}

	private static Route plain(int priority) {
		return route(RequestKind.IDEMPOTENT, priority, false);
	}

	private static Route route(RequestKind kind, int priority, boolean anonymous) {
		return new Route("r", "h", "/", kind, List.of(new WeightedService("s", 1)),
				new RouteLimits(1000, 500, 250, 2, priority), anonymous, true);
	}

	private static RoutedTeam team(int priority) {
		return new RoutedTeam("t", List.of("key"), priority);
	}

}
