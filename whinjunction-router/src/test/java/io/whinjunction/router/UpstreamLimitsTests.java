package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import io.whinjunction.availability.UpstreamNotice;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Limits that upstreams report, enforced by a fleet of routers in simulated time.
 */
class UpstreamLimitsTests {

	private static final String UPSTREAM = "e-1";

	private static final long WINDOW_MS = 4000;

	private static final long STEP_MS = 10;

	private static final long IDLE_MS = 60_000;

	private final List<String> addresses = new ArrayList<>();

	private final List<PeerTable> tables = new ArrayList<>();

	private long nowMs = 1_000_000;

	// All routers have an unlimited supply of requests after an idle time. Guards
	// against routers that send at once what they saved up during the idle time.
	@ParameterizedTest(name = "{0} routers, {1} a second")
	@CsvSource({ "1, 4", "7, 4", "7, 0.5", "95, 0.5", "95, 3.7", "95, 20", "390, 4" })
	void aFleetSendsNoMoreThanTheLimitAndUsesMostOfIt(int routers, double perSecond) {
		List<UpstreamLimits> fleet = fleet(routers);
		fleet.forEach((limits) -> limits.received(UPSTREAM, head(200, perSecond)));
		fleet.forEach((limits) -> limits.allows(UPSTREAM));
		this.nowMs += IDLE_MS;
		exchangeStatus();
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

		double max = 1.5 * perSecond * WINDOW_MS / 1000 + 5;
		for (long startMs : sentAtMs) {
			assertThat(
					(double) sentAtMs.stream().filter((atMs) -> atMs >= startMs && atMs < startMs + WINDOW_MS).count())
				.isLessThanOrEqualTo(max);
		}
		assertThat((double) sentAtMs.size()).isGreaterThan(0.8 * perSecond * 5 * WINDOW_MS / 1000);
	}

	@Test
	void anUpstreamThatReportsNoLimitAcceptsAllRequests() {
		UpstreamLimits limits = fleet(7).getFirst();
		limits.received(UPSTREAM, head(200, -1));

		assertThat(limits.allows(UPSTREAM)).isTrue();
		assertThat(limits.limitsToReport()).isEmpty();
	}

	@Test
	void aLimitAppliesUntilASuccessfulResponseReportsNone() {
		UpstreamLimits limits = fleet(1).getFirst();
		limits.received(UPSTREAM, head(200, 0.5));
		use(limits);
		this.nowMs++;
		limits.received(UPSTREAM, head(503, -1));
		assertThat(limits.allows(UPSTREAM)).isFalse();

		limits.received(UPSTREAM, head(200, -1));

		assertThat(limits.allows(UPSTREAM)).isTrue();
	}

	// A request is sent now and then to an upstream that accepts none: otherwise no
	// router would learn that its limit was raised.
	@Test
	void anUpstreamThatAcceptsNothingIsTriedNowAndThen() {
		UpstreamLimits limits = fleet(1).getFirst();
		limits.received(UPSTREAM, head(200, 0));
		use(limits);

		assertThat(limits.allows(UPSTREAM)).isFalse();
		this.nowMs += 10_000;
		assertThat(limits.allows(UPSTREAM)).isTrue();
	}

	@Test
	void aLimitReportedByAPeerAppliesAndSoDoesItsRemoval() {
		List<UpstreamLimits> fleet = fleet(2);
		fleet.getFirst().received(UPSTREAM, head(200, 0.5));
		fleet.getLast().received(fleet.getFirst().limitsToReport());
		use(fleet.getLast());
		assertThat(fleet.getLast().allows(UPSTREAM)).isFalse();
		this.nowMs += 100;

		fleet.getFirst().received(UPSTREAM, head(200, -1));
		fleet.getLast().received(fleet.getFirst().limitsToReport());

		assertThat(fleet.getLast().allows(UPSTREAM)).isTrue();
	}

	// Routers report limits to each other: an old report that arrives late must not
	// replace a newer one.
	@Test
	void anOlderReportChangesNothing() {
		List<UpstreamLimits> fleet = fleet(2);
		fleet.getFirst().received(UPSTREAM, head(200, 0.5));
		this.nowMs += 100;
		List<ReportedLimit> old = fleet.getFirst().limitsToReport();
		this.nowMs += 100;
		fleet.getLast().received(UPSTREAM, head(200, 0.7));
		fleet.getLast().received(UPSTREAM, head(200, -1));

		fleet.getLast().received(old);

		assertThat(fleet.getLast().count()).isZero();
	}

	@Test
	void limitsOfUpstreamsThatAreGoneAreDropped() {
		UpstreamLimits limits = fleet(1).getFirst();
		limits.received("e-gone", head(200, 0.5));
		limits.received(List.of(new ReportedLimit("e-unknown", 4, 0), new ReportedLimit(UPSTREAM, 4, -1)));
		limits.sweep();

		assertThat(limits.limitsToReport()).isEmpty();
	}

	// A router that is not among the senders sends nothing, whatever it has saved up.
	private void use(UpstreamLimits limits) {
		this.nowMs += 1;
		if (limits.allows(UPSTREAM)) {
			limits.sent(UPSTREAM);
		}
	}

	private static UpstreamHead head(int status, double limitPerSecond) {
		return new UpstreamHead("id", status, false, true, null, -1, limitPerSecond, UpstreamNotice.NONE);
	}

	private List<UpstreamLimits> fleet(int routers) {
		Random random = new Random(routers);
		IntStream.range(0, routers).mapToObj((index) -> "10.1.0." + index + ":7340").forEach((address) -> {
			this.addresses.add(address);
			PeerTable table = new PeerTable(address, random);
			table.addListed(List.of());
			this.tables.add(table);
		});
		exchangeStatus();
		return this.tables.stream().map((peers) -> new UpstreamLimits(context(peers), random)).toList();
	}

	private void exchangeStatus() {
		for (String address : this.addresses) {
			PeerStatus status = new PeerStatus("n", address, "a", 1, false, 4, 0, List.of(), Map.of(), List.of(), false,
					Map.of(), false, -1, UpstreamListState.NONE, 0, -1, PeerReach.NONE);
			this.tables.forEach((table) -> table.update(status, this.nowMs));
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
