package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.forward.CrashHistory;
import io.whinjunction.forward.RequestFingerprint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What routers learn from each other.
 */
class PeerTableTests {

	private final PeerTable table = new PeerTable("10.0.0.1:1", new Random(1));

	// A key that was taken away works at a router that the store does not answer: it took
	// a peer's proof for as young as the answer. What the peer says is at least as old as
	// the question, and older by the age of the peer's own proof.
	@Test
	void aProofIsDatedByTheQuestionAndItsAgeThere() {
		long question = this.table.ask(10_000);

		assertThat(this.table.provedAtMs(status("10.0.0.2:1", question, true, 700))).isEqualTo(9_300);
	}

	@Test
	void whatWasNotAskedForProvesNothing() {
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", 99, true, 0))).isEqualTo(Long.MIN_VALUE);
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", this.table.ask(5), false, 0))).isEqualTo(Long.MIN_VALUE);
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", this.table.ask(5), true, -1))).isEqualTo(Long.MIN_VALUE);
	}

	@Test
	void memoryOfRequestsIsSummedOverRoutersThatWereHeardLately() {
		this.table.heard(status("10.0.0.2:1", 1, true, 0), 0);
		this.table.heard(status("10.0.0.3:1", 1, true, 0), 1000);

		assertThat(this.table.tokenLayersAt("e1", 1000)).isEqualTo(200);
		assertThat(this.table.tokenLayersAt("e1", PeerTable.SILENT_MS + 500)).isEqualTo(100);
		assertThat(this.table.tokenLayersAt("e2", 1000)).isZero();
	}

	// Repeats of all routers go over their bound: one that is cut off sees no others and
	// takes all of the slack for itself. Routers that are silent still count.
	@Test
	void aRouterThatHearsNobodyStillSharesWithThoseItKnows() {
		this.table.addresses(List.of("10.0.0.2:1", "10.0.0.3:1", "10.0.0.1:1"));

		assertThat(this.table.sharers(0)).isEqualTo(3);
		assertThat(this.table.heardLately(0)).isZero();
	}

	@Test
	void aRouterThatLeavesIsNoLeader() {
		this.table.heard(status("10.0.0.2:1", 1, true, 0), 0);

		assertThat(this.table.hasLeader(0)).isTrue();
		assertThat(this.table.hasLeader(PeerTable.SILENT_MS)).isFalse();
	}

	@Test
	void aStatusSurvivesItsCodec() {
		PeerStatus status = status("10.0.0.2:1", 7, true, 5);
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(status))).contains(status);
		assertThat(codec.decode(new byte[] { 1, 2, 3 })).isEmpty();
	}

	@Test
	void reportsOfCrashesSurviveTheirCodec() {
		PeerMessage.CrashReports reports = new PeerMessage.CrashReports(List.of(
				new CrashHistory(new RequestFingerprint(-7), List.of(new CrashHistory.Crash("e-1@5", 12, true)), -1),
				new CrashHistory(new RequestFingerprint(9), List.of(), 40)));
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(reports))).contains(reports);
	}

	@Test
	void wordsOnLimitsSurviveTheirCodec() {
		PeerMessage.Limits limits = new PeerMessage.Limits(
				List.of(new ReportedLimit("e-1@5", 3.7, 12), new ReportedLimit("e-2", -1, 0)));
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(limits))).contains(limits);
	}

	@Test
	void oneOfTheRoutersThatHearEachOtherIsNearestToAKey() {
		List<PeerTable> fleet = fleetThatHearsEachOther(4);
		for (long key = 0; key < 100; key++) {
			long finalKey = key;
			assertThat(fleet.stream().filter((own) -> own.nearestTo(finalKey, 0))).hasSize(1);
		}
	}

	@Test
	void aRouterThatIsGoneLeavesItsPlaceToAnother() {
		List<PeerTable> fleet = fleetThatHearsEachOther(4);
		long laterMs = 40_000;

		assertThat(fleet.stream().filter((own) -> own.partOf(5, 2, 0) > 0)).hasSize(2);
		assertThat(fleet).allMatch((own) -> own.partOf(5, 2, laterMs) == 0.5);
	}

	private static List<PeerTable> fleetThatHearsEachOther(int routers) {
		List<PeerTable> fleet = new ArrayList<>();
		for (int index = 0; index < routers; index++) {
			PeerTable own = new PeerTable("10.0.0." + index + ":1", new Random(1));
			for (int other = 0; other < routers; other++) {
				own.heard(status("10.0.0." + other + ":1", 1, false, 0), 0);
			}
			fleet.add(own);
		}
		return fleet;
	}

	// A fleet starts: each router has heard a few others, which all wait at the store,
	// and
	// takes these few for all that do.
	@Test
	void routersThatWereNotHeardAreTakenToWaitAtTheStoreLikeThoseThatWere() {
		List<String> known = new ArrayList<>();
		for (int index = 2; index < 96; index++) {
			known.add("10.0.0." + index + ":1");
		}
		this.table.addresses(known);
		assertThat(this.table.listWatchers(0)).isZero();

		this.table.heard(status("10.0.0.2:1", 1, true, 0), 0);
		this.table.heard(inDomain("10.0.0.3:1", "a", false), 0);
		assertThat(this.table.listWatchers(0)).isBetween(47.0, 48.0);
	}

	@Test
	void questionsAndAnswersOfChangesSurviveTheirCodec() {
		Upstream engine = new Upstream("e", 7, "s", "10.0.0.1:80", "a", 8, "big", new LayerRange(0, 40), true);
		Upstream plain = new Upstream("p", Upstream.BORN_UNKNOWN, "s", "10.0.0.2:80", "a", 8, null, null, false);
		PeerMessage answer = new PeerMessage.ChangesAnswer(
				new UpstreamChanges(Versions.v(3), List.of(engine, plain), List.of("gone"), Versions.v(9)));
		PeerMessage question = new PeerMessage.ChangesQuestion(Versions.v(3));
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(answer))).contains(answer);
		assertThat(codec.decode(codec.encode(question))).contains(question);
	}

	// The store is asked for the lease twice a second by most of 88 routers, since each
	// hears only some of the others and seldom the holder. The word of it is passed on,
	// with its age, and grows old like one's own.
	@Test
	void theHoldersWordIsPassedOnWithItsAge() {
		this.table.heard(ofLeader("10.0.0.2:1", false, false, 600), 1_000);

		assertThat(this.table.hasLeader(1_000)).isTrue();
		assertThat(this.table.leaderAgeMs(1_100)).isEqualTo(700);
		assertThat(this.table.hasLeader(400 + PeerTable.SILENT_MS)).isFalse();
		assertThat(this.table.leaderAgeMs(400 + PeerTable.SILENT_MS)).isEqualTo(-1);
	}

	@Test
	void aHolderThatLeavesIsLookedForAtOnceWhateverOthersStillPassOn() {
		this.table.heard(ofLeader("10.0.0.2:1", true, false, -1), 1_000);
		this.table.heard(ofLeader("10.0.0.2:1", true, true, -1), 1_100);
		this.table.heard(ofLeader("10.0.0.3:1", false, false, 150), 1_200);

		assertThat(this.table.hasLeader(1_200)).isFalse();

		this.table.heard(ofLeader("10.0.0.3:1", false, false, 50), 1_300);
		assertThat(this.table.hasLeader(1_300)).isTrue();
	}

	// Of 88 routers, 36 are heard in time; each has 100 at the engine, so that 8,700 are
	// taken there by the others and not 3,600.
	@Test
	void routersThatCanNotBeHeardInTimeCountLikeTheOthers() {
		List<String> known = new ArrayList<>();
		for (int index = 2; index < 89; index++) {
			known.add("10.0.0." + index + ":1");
		}
		this.table.addresses(known);
		known.subList(0, 36).forEach((address) -> this.table.heard(ofLeader(address, false, false, -1), 1_000));

		assertThat(this.table.tokenLayersAt("e1", 1_000)).isBetween(8_600L, 8_800L);
	}

	// A stopping router refuses drafts, and their callers reach nobody: of the two others
	// one is gone and the balancer sends to it all the same.
	@Test
	void oneOfTwoOthersDoesNotSufficeForCallersThatAreRefused() {
		this.table.heard(inDomain("10.0.0.2:1", "a", false), 0);
		this.table.heard(inDomain("10.0.0.3:1", "a", true), 0);
		this.table.heard(inDomain("10.0.0.4:1", "b", false), 0);

		assertThat(this.table.others("a", 100)).isEqualTo(new PeerTable.Others(2, 1));
		assertThat(this.table.others("a", 100).suffice()).isFalse();
	}

	@Test
	void theOnlyRouterOfAFailureDomainCountsOnThoseOfOtherOnes() {
		this.table.heard(inDomain("10.0.0.4:1", "b", false), 0);

		assertThat(this.table.others("a", 100).suffice()).isTrue();
		assertThat(this.table.others("a", PeerTable.SILENT_MS).suffice()).isFalse();
	}

	// Of 99 others, 36 are heard in time. The rest is silent since nobody asked it, and
	// not since it is gone.
	@Test
	void routersThatCanNotBeHeardInTimeAreNotTakenForGone() {
		for (int index = 2; index < 101; index++) {
			this.table.heard(inDomain("10.0.0." + index + ":1", "a", false), (index < 38) ? 2_000 : 0);
		}

		assertThat(this.table.others("a", 2_000).suffice()).isTrue();
	}

	private static PeerStatus inDomain(String address, String failureDomain, boolean leaving) {
		return new PeerStatus("n", address, failureDomain, 1, false, 4, 0, List.of(), Map.of(), List.of(), leaving,
				Map.of(), false, -1, UpstreamListState.NONE, 0, -1);
	}

	private static PeerStatus status(String address, long sequence, boolean answer, long proofAgeMs) {
		return new PeerStatus("n", address, "a", sequence, answer, 4, proofAgeMs, List.of("10.1.1.1:80"),
				Map.of("e1", 100L), List.of("10.0.0.9:1"), false, Map.of("e1", 3.0), true, -1,
				new UpstreamListState(Versions.v(9), 7, 120, true), 0, -1);
	}

	private static PeerStatus ofLeader(String address, boolean leading, boolean leaving, long leaderAgeMs) {
		return new PeerStatus("n", address, "a", 1, false, 4, 0, List.of(), Map.of("e1", 100L), List.of(), leaving,
				Map.of(), leading, leaderAgeMs, UpstreamListState.NONE, 0, -1);
	}

}
