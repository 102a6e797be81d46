package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Limits that upstreams name, kept by a fleet of routers in simulated time.
 */
class UpstreamLimitsTests {

	private static final String UPSTREAM = "e-1";

	private static final long WINDOW_MS = 4000;

	private static final long STEP_MS = 10;

	private static final long IDLE_MS = 60_000;

	private final List<String> addresses = new ArrayList<>();

	private final List<PeerTable> tables = new ArrayList<>();

	private long nowMs = 1_000_000;

	// All routers have as many requests as they like, after a time without any: each of
	// them would send at once what it has saved up.
	@ParameterizedTest(name = "{0} routers, {1} a second")
	@CsvSource({ "1, 4", "7, 4", "7, 0.5", "95, 0.5", "95, 3.7", "95, 20", "390, 4" })
	void aFleetSendsNoMoreThanTheLimitAndUsesMostOfIt(int routers, double perSecond) {
		List<UpstreamLimits> fleet = fleet(routers);
		fleet.forEach((limits) -> limits.heard(UPSTREAM, head(200, perSecond)));
		fleet.forEach((limits) -> limits.allows(UPSTREAM));
		this.nowMs += IDLE_MS;
		hearEachOther();
		List<Long> sentAtMs = new ArrayList<>();
		long fromMs = this.nowMs;
		for (; this.nowMs < fromMs + 5 * WINDOW_MS; this.nowMs += STEP_MS) {
			for (UpstreamLimits limits : fleet) {
				if (limits.allows(UPSTREAM)) {
					limits.sent(UPSTREAM);
					sentAtMs.add(this.nowMs);
				}
			}
		}

		double most = 1.5 * perSecond * WINDOW_MS / 1000 + 5;
		for (long startMs : sentAtMs) {
			assertThat(
					(double) sentAtMs.stream().filter((atMs) -> atMs >= startMs && atMs < startMs + WINDOW_MS).count())
				.isLessThanOrEqualTo(most);
		}
		assertThat((double) sentAtMs.size()).isGreaterThan(0.8 * perSecond * 5 * WINDOW_MS / 1000);
	}

	@Test
	void anUpstreamThatNamesNoLimitTakesAll() {
		UpstreamLimits limits = fleet(7).getFirst();
		limits.heard(UPSTREAM, head(200, -1));

		assertThat(limits.allows(UPSTREAM)).isTrue();
		assertThat(limits.told()).isEmpty();
	}

	@Test
	void aLimitHoldsUntilAnAnswerOfItsOwnWorkNamesNone() {
		UpstreamLimits limits = fleet(1).getFirst();
		limits.heard(UPSTREAM, head(200, 0.5));
		use(limits);
		this.nowMs++;
		limits.heard(UPSTREAM, head(503, -1));
		assertThat(limits.allows(UPSTREAM)).isFalse();

		limits.heard(UPSTREAM, head(200, -1));

		assertThat(limits.allows(UPSTREAM)).isTrue();
	}

	// An upstream that takes nothing is asked now and then, or nobody would hear when
	// that
	// ends.
	@Test
	void anUpstreamThatTakesNothingIsAskedNowAndThen() {
		UpstreamLimits limits = fleet(1).getFirst();
		limits.heard(UPSTREAM, head(200, 0));
		use(limits);

		assertThat(limits.allows(UPSTREAM)).isFalse();
		this.nowMs += 10_000;
		assertThat(limits.allows(UPSTREAM)).isTrue();
	}

	@Test
	void theWordOfAnotherRouterHoldsHereAndSoDoesItsEnd() {
		List<UpstreamLimits> fleet = fleet(2);
		fleet.getFirst().heard(UPSTREAM, head(200, 0.5));
		fleet.getLast().heard(fleet.getFirst().told());
		use(fleet.getLast());
		assertThat(fleet.getLast().allows(UPSTREAM)).isFalse();
		this.nowMs += 100;

		fleet.getFirst().heard(UPSTREAM, head(200, -1));
		fleet.getLast().heard(fleet.getFirst().told());

		assertThat(fleet.getLast().allows(UPSTREAM)).isTrue();
	}

	// Routers tell each other what they heard: an old word that comes late must not undo
	// a
	// newer one.
	@Test
	void anOlderWordChangesNothing() {
		List<UpstreamLimits> fleet = fleet(2);
		fleet.getFirst().heard(UPSTREAM, head(200, 0.5));
		this.nowMs += 100;
		List<NamedLimit> old = fleet.getFirst().told();
		this.nowMs += 100;
		fleet.getLast().heard(UPSTREAM, head(200, 0.7));
		fleet.getLast().heard(UPSTREAM, head(200, -1));

		fleet.getLast().heard(old);

		assertThat(fleet.getLast().count()).isZero();
	}

	@Test
	void wordsOnUpstreamsThatAreGoneAreDropped() {
		UpstreamLimits limits = fleet(1).getFirst();
		limits.heard("e-gone", head(200, 0.5));
		limits.heard(List.of(new NamedLimit("e-unknown", 4, 0), new NamedLimit(UPSTREAM, 4, -1)));
		limits.sweep();

		assertThat(limits.told()).isEmpty();
	}

	// A router of a fleet that is no sender sends nothing, whatever it has saved up.
	private void use(UpstreamLimits limits) {
		this.nowMs += 1;
		if (limits.allows(UPSTREAM)) {
			limits.sent(UPSTREAM);
		}
	}

	private static UpstreamHead head(int status, double limitPerSecond) {
		return new UpstreamHead("id", status, false, true, null, -1, limitPerSecond);
	}

	private List<UpstreamLimits> fleet(int routers) {
		Random random = new Random(routers);
		IntStream.range(0, routers).mapToObj((index) -> "10.1.0." + index + ":7340").forEach((address) -> {
			this.addresses.add(address);
			this.tables.add(new PeerTable(address, random));
		});
		hearEachOther();
		return this.tables.stream().map((peers) -> new UpstreamLimits(context(peers), random)).toList();
	}

	private void hearEachOther() {
		for (String address : this.addresses) {
			PeerStatus status = new PeerStatus("n", address, "a", 1, false, 4, 0, List.of(), Map.of(), List.of(), false,
					Map.of(), false, -1, UpstreamListState.NONE, 0, -1);
			this.tables.forEach((table) -> table.heard(status, this.nowMs));
		}
	}

	private RouterContext context(PeerTable peers) {
		UpstreamDirectory directory = new UpstreamDirectory((left) -> {
		});
		directory.replace(List
			.of(new Upstream(UPSTREAM, Upstream.BORN_UNKNOWN, "llm", "10.2.0.1:80", "a", 8, null, null, false)));
		return (RouterContext) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { RouterContext.class }, (proxy, method, args) -> switch (method.getName()) {
					case "nowMs" -> this.nowMs;
					case "peers" -> peers;
					case "directory" -> directory;
					default -> throw new IllegalStateException(method.getName());
				});
	}

}
