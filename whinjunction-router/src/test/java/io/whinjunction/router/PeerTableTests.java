package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.forward.CrashHistory;
import io.whinjunction.forward.CrashingParts;
import io.whinjunction.forward.PartHistory;
import io.whinjunction.forward.PromptPart;
import io.whinjunction.forward.RequestFingerprint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what routers learn from their peers, and the encoding of their messages.
 */
class PeerTableTests {

	/** Routers that a status names, and that are not heard themselves. */
	private static final int ADVERTISED = 1;

	private final PeerTable table = new PeerTable("10.0.0.1:1", new Random(1));

	// Guards against a revoked key that keeps working at a router that is cut off from
	// the store, because it dates a peer's proof by the arrival of the answer. The proof
	// counts from the time of the query, less the age that the peer reports for it.
	@Test
	void aProofIsDatedByTheQueryLessItsReportedAge() {
		long query = this.table.startQuery(10_000);

		assertThat(this.table.provedAtMs(status("10.0.0.2:1", query, true, 700))).isEqualTo(9_300);
	}

	@Test
	void aStatusThatAnswersNoQueryProvesNothing() {
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", 99, true, 0))).isEqualTo(Long.MIN_VALUE);
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", this.table.startQuery(5), false, 0)))
			.isEqualTo(Long.MIN_VALUE);
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", this.table.startQuery(5), true, -1)))
			.isEqualTo(Long.MIN_VALUE);
	}

	@Test
	void requestMemoryIsSummedOverActivePeers() {
		this.table.update(status("10.0.0.2:1", 1, true, 0), 0);
		this.table.update(status("10.0.0.3:1", 1, true, 0), 1000);

		assertThat(this.table.tokenLayersAt("e1", 1000)).isEqualTo(200);
		assertThat(this.table.tokenLayersAt("e1", PeerTable.SILENT_MS + 500)).isEqualTo(100);
		assertThat(this.table.tokenLayersAt("e2", 1000)).isZero();
	}

	// Guards against retries of all routers exceeding their common bound: a router that
	// is cut off has no active peers and would take all of the slack for itself. Silent
	// peers still count.
	@Test
	void aRouterWithoutActivePeersStillCountsKnownOnes() {
		this.table.addAddresses(List.of("10.0.0.2:1", "10.0.0.3:1", "10.0.0.1:1"));

		assertThat(this.table.routerCount(0)).isEqualTo(3);
		assertThat(this.table.activeCount(0)).isZero();
	}

	// Guards against a router that is cut off from its peers and takes their shares once
	// it has forgotten them.
	@Test
	void aRouterThatIsCutOffFromItsPeersStillCountsThemAfterMinutes() {
		this.table.update(status("10.0.0.2:1", 1, true, 0), 0);
		this.table.update(status("10.0.0.3:1", 1, true, 0), 3000);
		this.table.update(status("10.0.0.4:1", 1, true, 0), 6000);

		for (long nowMs = 7000; nowMs < 600_000; nowMs += 1000) {
			assertThat(this.table.routerCount(nowMs)).isEqualTo(ADVERTISED + 4);
		}
	}

	// Guards against an upstream that gets its whole limit from each of several routers
	// that have just started and know no other.
	@Test
	void aRouterThatHasNotReadTheListOfRoutersTakesTheShareOfOneOfMany() {
		assertThat(this.table.shareOf(5, 4, 0)).isEqualTo(0.25);

		this.table.addListed(List.of());
		assertThat(this.table.shareOf(5, 4, 0)).isEqualTo(1);
	}

	@Test
	void aRouterThatIsGoneIsForgottenWhileTheOthersAreHeard() {
		for (long nowMs = 0; nowMs < 120_000; nowMs += 1000) {
			this.table.update(status("10.0.0.2:1", 1, true, 0), nowMs);
			this.table.update(status("10.0.0.3:1", 1, true, 0), nowMs);
			if (nowMs < 10_000) {
				this.table.update(status("10.0.0.4:1", 1, true, 0), nowMs);
			}
		}

		assertThat(this.table.routerCount(120_000)).isEqualTo(ADVERTISED + 3);
	}

	@Test
	void aSilentRouterIsNoLeader() {
		this.table.update(status("10.0.0.2:1", 1, true, 0), 0);

		assertThat(this.table.hasLeader(0)).isTrue();
		assertThat(this.table.hasLeader(PeerTable.SILENT_MS)).isFalse();
	}

	@Test
	void aStatusSurvivesEncoding() {
		PeerStatus status = status("10.0.0.2:1", 7, true, 5);
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(status))).contains(status);
		assertThat(codec.decode(new byte[] { 1, 2, 3 })).isEmpty();
	}

	@Test
	void crashReportsSurviveEncoding() {
		PeerMessage.CrashReports reports = new PeerMessage.CrashReports(
				List.of(new CrashHistory(new RequestFingerprint(-7), List.of(new CrashHistory.Crash("e-1@5", 12, true)),
						-1), new CrashHistory(new RequestFingerprint(9), List.of(), 40)),
				List.of(new PartHistory(new PromptPart(3),
						List.of(new PartHistory.Crash("e-1@5", 12, 90, true, new RequestFingerprint(-7))), -1,
						PartHistory.Restored.NONE),
						new PartHistory(new PromptPart(-4), List.of(), 40,
								new PartHistory.Restored(7, List.of(new PromptPart(3))))));
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(reports))).contains(reports);
	}

	// Guards against reports that the receiving channel would truncate.
	@Test
	void theLargestReportOfPartsFitsIntoADatagram() {
		CrashingParts parts = new CrashingParts();
		for (int part = 0; part < 100; part++) {
			for (int crash = 0; crash < 20; crash++) {
				long atMs = 1_000_000_000L + 2000 * crash;
				parts.crashed(new RequestFingerprint(Long.MAX_VALUE - crash), List.of(new PromptPart(part)),
						new CrashingParts.Crash("an-upstream-with-a-rather-long-name-" + crash + "@1764000000000",
								atMs - 100, atMs, true),
						atMs);
			}
		}
		List<PartHistory> histories = parts.historiesToSend(1_000_039_000L);

		byte[] encoded = new PeerCodec().encode(new PeerMessage.CrashReports(List.of(), histories));

		assertThat(histories).hasSizeGreaterThan(10);
		assertThat(encoded.length).isLessThan(PeerLink.MAX_DATAGRAM_BYTES);
	}

	@Test
	void limitsSurviveEncoding() {
		PeerMessage.Limits limits = new PeerMessage.Limits(
				List.of(new ReportedLimit("e-1@5", 3.7, 12), new ReportedLimit("e-2", -1, 0)));
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(limits))).contains(limits);
	}

	@Test
	void exactlyOneOfTheConnectedRoutersIsNearestToAKey() {
		List<PeerTable> fleet = connectedFleet(4);
		for (long key = 0; key < 100; key++) {
			long finalKey = key;
			assertThat(fleet.stream().filter((own) -> own.nearestTo(finalKey, 0))).hasSize(1);
		}
	}

	@Test
	void aRouterThatIsGoneLosesItsPlaceToAnother() {
		List<PeerTable> fleet = connectedFleet(4);
		long laterMs = 40_000;

		assertThat(fleet.stream().filter((own) -> own.shareOf(5, 2, 0) > 0)).hasSize(2);
		assertThat(fleet).allMatch((own) -> own.shareOf(5, 2, laterMs) == 0.5);
	}

	private static List<PeerTable> connectedFleet(int routers) {
		List<PeerTable> fleet = new ArrayList<>();
		for (int index = 0; index < routers; index++) {
			PeerTable own = new PeerTable("10.0.0." + index + ":1", new Random(1));
			for (int other = 0; other < routers; other++) {
				own.update(status("10.0.0." + other + ":1", 1, false, 0), 0);
			}
			fleet.add(own);
		}
		return fleet;
	}

	// Guards against a miscount while a fleet starts: each router has received the status
	// of only a few peers, which all watch the store, and would take these few for all
	// watchers.
	@Test
	void silentPeersAreAssumedToWatchTheStoreLikeActiveOnes() {
		List<String> known = new ArrayList<>();
		for (int index = 2; index < 96; index++) {
			known.add("10.0.0." + index + ":1");
		}
		this.table.addAddresses(known);
		assertThat(this.table.listWatchers(0)).isZero();

		this.table.update(status("10.0.0.2:1", 1, true, 0), 0);
		this.table.update(inDomain("10.0.0.3:1", "a", false), 0);
		assertThat(this.table.listWatchers(0)).isBetween(47.0, 48.0);
	}

	@Test
	void changesQuestionsAndAnswersSurviveEncoding() {
		Upstream engine = new Upstream("e", 7, "s", "10.0.0.1:80", "a", 8, "big", new LayerRange(0, 40), true);
		Upstream plain = new Upstream("p", Upstream.BORN_UNKNOWN, "s", "10.0.0.2:80", "a", 8, null, null, false);
		PeerMessage answer = new PeerMessage.ChangesAnswer(
				new UpstreamChanges(Versions.v(3), List.of(engine, plain), List.of("gone"), Versions.v(9)));
		PeerMessage question = new PeerMessage.ChangesQuestion(Versions.v(3));
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(answer))).contains(answer);
		assertThat(codec.decode(codec.encode(question))).contains(question);
	}

	// Guards against most of 88 routers reading the lease from the store twice a second,
	// because each receives the status of only some peers, seldom of the holder. Peers
	// relay the age of the holder's status, which grows like that of a status received
	// directly.
	@Test
	void theAgeOfTheLeadersStatusIsRelayed() {
		this.table.update(ofLeader("10.0.0.2:1", false, false, 600), 1_000);

		assertThat(this.table.hasLeader(1_000)).isTrue();
		assertThat(this.table.leaderAgeMs(1_100)).isEqualTo(700);
		assertThat(this.table.hasLeader(400 + PeerTable.SILENT_MS)).isFalse();
		assertThat(this.table.leaderAgeMs(400 + PeerTable.SILENT_MS)).isEqualTo(-1);
	}

	@Test
	void aLeavingLeaderIsReplacedAtOnceDespiteOlderRelayedReports() {
		this.table.update(ofLeader("10.0.0.2:1", true, false, -1), 1_000);
		this.table.update(ofLeader("10.0.0.2:1", true, true, -1), 1_100);
		this.table.update(ofLeader("10.0.0.3:1", false, false, 150), 1_200);

		assertThat(this.table.hasLeader(1_200)).isFalse();

		this.table.update(ofLeader("10.0.0.3:1", false, false, 50), 1_300);
		assertThat(this.table.hasLeader(1_300)).isTrue();
	}

	// Of 87 peers in a fleet of 88 routers, the statuses of 36 arrive in time. Each has
	// 100 token layers at the engine, so that the peers occupy 8,700 there, not 3,600.
	@Test
	void peersWhoseStatusCanNotArriveInTimeCountLikeActiveOnes() {
		List<String> known = new ArrayList<>();
		for (int index = 2; index < 89; index++) {
			known.add("10.0.0." + index + ":1");
		}
		this.table.addAddresses(known);
		known.subList(0, 36).forEach((address) -> this.table.update(ofLeader(address, false, false, -1), 1_000));

		assertThat(this.table.tokenLayersAt("e1", 1_000)).isBetween(8_600L, 8_800L);
	}

	// Guards against a stopping router that rejects drafts whose callers then reach no
	// router: of its two peers one is gone, and the load balancer still sends to it.
	@Test
	void oneOfTwoPeersDoesNotSufficeForRejectedCallers() {
		this.table.update(inDomain("10.0.0.2:1", "a", false), 0);
		this.table.update(inDomain("10.0.0.3:1", "a", true), 0);
		this.table.update(inDomain("10.0.0.4:1", "b", false), 0);

		assertThat(this.table.reachablePeers("a", 100)).isEqualTo(new PeerTable.ReachablePeers(2, 1));
		assertThat(this.table.reachablePeers("a", 100).suffice()).isFalse();
	}

	@Test
	void theOnlyRouterOfAFailureDomainReliesOnOtherDomains() {
		this.table.update(inDomain("10.0.0.4:1", "b", false), 0);

		assertThat(this.table.reachablePeers("a", 100).suffice()).isTrue();
		assertThat(this.table.reachablePeers("a", PeerTable.SILENT_MS).suffice()).isFalse();
	}

	// Of 99 peers, the statuses of 36 arrive in time. The rest is silent because it was
	// not queried, not because it is gone.
	@Test
	void peersWhoseStatusCanNotArriveInTimeAreNotConsideredGone() {
		for (int index = 2; index < 101; index++) {
			this.table.update(inDomain("10.0.0." + index + ":1", "a", false), (index < 38) ? 2_000 : 0);
		}

		assertThat(this.table.reachablePeers("a", 2_000).suffice()).isTrue();
	}

	private static PeerStatus inDomain(String address, String failureDomain, boolean leaving) {
		return new PeerStatus("n", address, failureDomain, 1, false, 4, 0, List.of(), Map.of(), List.of(), leaving,
				Map.of(), false, -1, UpstreamListState.NONE, 0, -1, PeerReach.NONE);
	}

	private static PeerStatus status(String address, long sequence, boolean answer, long proofAgeMs) {
		return new PeerStatus("n", address, "a", sequence, answer, 4, proofAgeMs, List.of("10.1.1.1:80"),
				Map.of("e1", 100L), List.of("10.0.0.9:1"), false, Map.of("e1", 3.0), true, -1,
				new UpstreamListState(Versions.v(9), 7, 120, true), 0, -1,
				new PeerReach(Map.of("s", 5L), true, -1, List.of("e2"), Map.of("s", 9L), List.of("s")));
	}

	private static PeerStatus ofLeader(String address, boolean leading, boolean leaving, long leaderAgeMs) {
		return new PeerStatus("n", address, "a", 1, false, 4, 0, List.of(), Map.of("e1", 100L), List.of(), leaving,
				Map.of(), leading, leaderAgeMs, UpstreamListState.NONE, 0, -1, PeerReach.NONE);
	}

}
