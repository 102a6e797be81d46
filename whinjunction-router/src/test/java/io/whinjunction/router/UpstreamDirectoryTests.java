package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.routing.RoutedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the directory of upstreams.
 */
class UpstreamDirectoryTests {

	private final List<String> left = new ArrayList<>();

	private final UpstreamDirectory directory = new UpstreamDirectory((upstream) -> this.left.add(upstream.id()));

	@Test
	void anUpstreamThatIsNoLongerListedIsRemoved() {
		this.directory.replace(List.of(upstream("1", "a:1", false), upstream("2", "a:2", false)));
		this.directory.replace(List.of(upstream("2", "a:2", false)));

		assertThat(this.directory.find("1")).isNull();
		assertThat(this.left).containsExactly("1");
	}

	@Test
	void aLeavingUpstreamIsReportedOnceAndIsNoLongerActive() {
		this.directory.replace(List.of(upstream("1", "a:1", false)));
		this.directory
			.apply(new UpstreamChanges(Versions.v(1), List.of(upstream("1", "a:1", true)), List.of(), Versions.v(2)));
		this.directory
			.apply(new UpstreamChanges(Versions.v(1), List.of(upstream("1", "a:1", true)), List.of(), Versions.v(3)));

		assertThat(this.directory.active(new RoutedService("s", "", 0, null))).isEmpty();
		assertThat(this.left).containsExactly("1");
	}

	// A request would reach a service that it must never reach: the address of a removed
	// server was assigned to a server of another service. An address resolves to the
	// upstream that was listed with it last.
	@Test
	void aReusedAddressResolvesToItsNewOwner() {
		this.directory.replace(List.of(upstream("1", "a:1", false)));
		this.directory.apply(
				new UpstreamChanges(Versions.v(1), List.of(upstream("2", "a:1", false)), List.of("1"), Versions.v(2)));

		assertThat(this.directory.findByAddress("s", "a:1").upstream().id()).isEqualTo("2");
	}

	// Drafts would be sent to an engine that holds nothing, one after the other: it
	// crashed and restarted under its name before the list showed its absence, and its
	// recorded capacity, suspicions and connections were still those of the earlier
	// incarnation.
	@Test
	void anEngineRestartedUnderItsNameSharesNoStateWithItsEarlierIncarnation() {
		this.directory.replace(List.of(engine(1_000, new LayerRange(0, 40))));
		UpstreamState before = this.directory.find("e@1000");
		before.addTokenLayers(10);
		before.avoidUntil(Long.MAX_VALUE);

		this.directory
			.apply(new UpstreamChanges(Versions.v(1), List.of(engine(2_000, null)), List.of(), Versions.v(2)));

		assertThat(this.directory.find("e@1000")).isNull();
		assertThat(this.directory.superseded("e@1000")).isTrue();
		assertThat(this.directory.superseded("e@2000")).isFalse();
		assertThat(this.left).containsExactly("e");
		UpstreamState after = this.directory.find("e@2000");
		assertThat(after.upstream().held()).isNull();
		assertThat(after.tokenLayers()).isZero();
		assertThat(after.avoided(0)).isFalse();
		assertThat(this.directory.findByAddress("s", "a:1")).isSameAs(after);
	}

	// The new incarnation would be dropped, and with it the layers that it was ordered to
	// hold: an entry written by the earlier incarnation arrives after that of the later
	// one.
	@Test
	void aLateEntryOfAnEarlierIncarnationIsIgnored() {
		this.directory.replace(List.of(engine(2_000, new LayerRange(40, 80))));

		this.directory.apply(new UpstreamChanges(Versions.v(1), List.of(engine(1_000, new LayerRange(0, 40))),
				List.of(), Versions.v(2)));

		assertThat(this.directory.find("e@2000").upstream().held()).isEqualTo(new LayerRange(40, 80));
		assertThat(this.left).isEmpty();
	}

	// The list lags by a heartbeat, and a report of the engine is the first sign of the
	// restart.
	@Test
	void aReportOfANewIncarnationIsAcceptedBeforeTheListShowsIt() {
		Upstream asked = engine(1_000, new LayerRange(0, 40));
		this.directory.replace(List.of(asked));

		boolean same = this.directory.confirmIncarnation(asked, report(2_000, null));
		this.directory.replace(List.of(asked));

		assertThat(same).isFalse();
		assertThat(this.directory.find("e@2000").upstream().held()).isNull();
		assertThat(this.directory.find("e@1000")).isNull();
	}

	@Test
	void aReportOfAnEarlierIncarnationIsRejected() {
		Upstream asked = engine(2_000, new LayerRange(0, 40));
		this.directory.replace(List.of(asked));

		assertThat(this.directory.confirmIncarnation(asked, report(1_000, null))).isFalse();
		assertThat(this.directory.find("e@2000").upstream()).isEqualTo(asked);
	}

	@Test
	void withoutAStartTimeTheNameAloneIdentifiesAnUpstream() {
		Upstream asked = engine(Upstream.BORN_UNKNOWN, new LayerRange(0, 40));
		this.directory.replace(List.of(asked));

		assertThat(this.directory.confirmIncarnation(asked, report(1_000, null))).isTrue();
		assertThat(this.directory.find("e").upstream()).isEqualTo(asked);
	}

	// An engine would count as full for the rest of the day: running requests were
	// counted under its name alone, then an entry reported its start time, and their
	// completions were no longer matched. What was counted under one identifier is not
	// kept under the other.
	@Test
	void loadCountedWithoutAStartTimeIsNotKeptOnceTheTimeIsKnown() {
		this.directory.replace(List.of(engine(Upstream.BORN_UNKNOWN, new LayerRange(0, 40))));
		this.directory.find("e").addTokenLayers(10);

		this.directory.replace(List.of(engine(1_000, new LayerRange(0, 40))));

		assertThat(this.directory.find("e")).isNull();
		assertThat(this.directory.find("e@1000").tokenLayers()).isZero();
	}

	@Test
	void anEntryWithoutAStartTimeBelongsToTheKnownIncarnation() {
		this.directory.replace(List.of(engine(1_000, null)));
		this.directory.find("e@1000").addTokenLayers(10);

		this.directory.replace(List.of(engine(Upstream.BORN_UNKNOWN, new LayerRange(0, 40))));

		assertThat(this.directory.find("e@1000").upstream().held()).isEqualTo(new LayerRange(0, 40));
		assertThat(this.directory.find("e@1000").tokenLayers()).isEqualTo(10);
		assertThat(this.left).isEmpty();
	}

	@Test
	void anEntryOfAnotherServiceDoesNotTakeOverAnAddress() {
		this.directory.replace(List.of(upstream("1", "a:1", false)));
		this.directory.apply(new UpstreamChanges(Versions.v(1),
				List.of(new Upstream("x", 5, "nobody-calls", "a:1", "d", 4, null, null, false)), List.of(),
				Versions.v(2)));

		assertThat(this.directory.findByAddress("s", "a:1").upstream().id()).isEqualTo("1");
	}

	@Test
	void theBusiestEnginesAreReturnedFirst() {
		this.directory.replace(List.of(upstream("1", "a:1", false), upstream("2", "a:2", false)));
		this.directory.find("1").addTokenLayers(10);
		this.directory.find("2").addTokenLayers(20);

		assertThat(this.directory.busiest(1)).containsOnlyKeys("2");
	}

	private static Upstream upstream(String id, String address, boolean leaving) {
		return new Upstream(id, Upstream.BORN_UNKNOWN, "s", address, "d", 4, null, null, leaving);
	}

	private static Upstream engine(long bornMs, LayerRange held) {
		return new Upstream("e", bornMs, "s", "a:1", "d", 4, "large", held, false);
	}

	private static EngineReport report(long bornMs, LayerRange held) {
		return new EngineReport(bornMs, held, false, 0, 0, 0, 0, 0, 1, List.of());
	}

}
