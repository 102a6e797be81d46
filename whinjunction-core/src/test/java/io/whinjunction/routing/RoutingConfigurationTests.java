package io.whinjunction.routing;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which route, service and team a request belongs to.
 */
class RoutingConfigurationTests {

	private static final RouteLimits LIMITS = new RouteLimits(800, 100, 0, 2, 1);

	@Test
	void theLongestPrefixOfTheHostWins() {
		RoutingConfiguration configuration = configuration(route("short", "a.example", "/x/"),
				route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/"));

		assertThat(configuration.route("a.example", "/x/y/z/1").name()).isEqualTo("long");
		assertThat(configuration.route("a.example", "/x/1").name()).isEqualTo("short");
		assertThat(configuration.route("a.example", "/y/")).isNull();
		assertThat(configuration.route("c.example", "/x/")).isNull();
	}

	@Test
	void requestsAreSplitByWeightAndARequestAlwaysGetsTheSameService() {
		Route route = new Route("r", "a", "/", RequestKind.IDEMPOTENT,
				List.of(new WeightedService("big", 90), new WeightedService("small", 10)), LIMITS, false, false);

		long small = IntStream.range(0, 1000).filter((hash) -> route.serviceFor(hash).equals("small")).count();

		assertThat(small).isEqualTo(100);
		assertThat(route.serviceFor(-7)).isEqualTo(route.serviceFor(-7));
	}

	@Test
	void aKeyBelongsToItsTeamAndUnknownKeysToNone() {
		RoutingConfiguration configuration = configuration(route("r", "a", "/"));

		assertThat(configuration.teamOf("k1").name()).isEqualTo("agency");
		assertThat(configuration.teamOf("k3")).isNull();
		assertThat(configuration.teamOf(null)).isNull();
		assertThat(configuration.keysRequired()).isTrue();
	}

	@Test
	void onlyIdempotentRequestsAndResumableStreamsMayBeRepeated() {
		assertThat(kind(RequestKind.IDEMPOTENT, false).repeatable()).isTrue();
		assertThat(kind(RequestKind.NON_IDEMPOTENT, true).repeatable()).isFalse();
		assertThat(kind(RequestKind.STREAMING, false).repeatable()).isFalse();
		assertThat(kind(RequestKind.STREAMING, true).repeatable()).isTrue();
	}

	private static Route kind(RequestKind kind, boolean resumable) {
		return new Route("r", "a", "/", kind, List.of(new WeightedService("s", 1)), LIMITS, false, resumable);
	}

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, RequestKind.IDEMPOTENT, List.of(new WeightedService("s", 1)), LIMITS,
				false, false);
	}

	private static RoutingConfiguration configuration(Route... routes) {
		return new RoutingConfiguration(3, List.of(routes), List.of(), CallerLimits.DEFAULT, true,
				List.of(new RoutedTeam("agency", List.of("k1", "k2"), -1)));
	}

}
