package io.whinjunction.forward;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which requests are refused because upstreams crash under them.
 */
class CrashingRequestsTests {

	private static final RequestFingerprint CRASHING = new RequestFingerprint(7);

	private static final RequestFingerprint OTHER = new RequestFingerprint(8);

	private static final long START_MS = 1_000_000;

	private static final long SETTLED_MS = CrashingRequests.SETTLED_MS;

	private final CrashingRequests requests = new CrashingRequests();

	@Test
	void aRequestUnderWhichThreeUpstreamsCrashedIsRefused() {
		assertThat(crash(CRASHING, "e-1", 0)).isEqualTo(1);
		assertThat(crash(CRASHING, "e-2", 100)).isEqualTo(2);
		assertThat(refused(CRASHING, 150)).isFalse();

		assertThat(crash(CRASHING, "e-3", 200)).isEqualTo(3);

		assertThat(refused(CRASHING, 200 + SETTLED_MS)).isTrue();
		assertThat(refused(OTHER, 200 + SETTLED_MS)).isFalse();
	}

	// A queued draft is often cut by the crash of another request. A draft that is
	// cut twice between its start and its first event is unlikely to be a victim.
	@Test
	void aRequestThatTwoUpstreamsHadJustBegunIsRefused() {
		this.requests.crashed(CRASHING, "e-1", true, START_MS);
		crash(CRASHING, "e-2", 100);
		assertThat(refused(CRASHING, 150)).isFalse();

		this.requests.crashed(CRASHING, "e-2", true, START_MS + 110);

		assertThat(refused(CRASHING, 150)).isTrue();
	}

	@Test
	void theRunningStateIsSentToPeers() {
		CrashingRequests second = new CrashingRequests();
		second.crashed(CRASHING, "e-1", true, START_MS);
		this.requests.crashed(CRASHING, "e-2", true, START_MS);

		send(second, this.requests, 10);

		assertThat(refused(CRASHING, 10)).isTrue();
	}

	// Guards against refusing harmless requests: upstreams in trouble reset some
	// connections and keep running, and a poll that many callers send alike would
	// soon have been cut at all of them.
	@Test
	void anUpstreamThatIsStillRunningHasNotCrashed() {
		crash(CRASHING, "e-1", 0);
		crash(CRASHING, "e-2", 0);
		crash(CRASHING, "e-3", 0);

		this.requests.answered("e-2", START_MS + UpstreamSurvival.SURVIVED_FROM_MS);

		assertThat(refused(CRASHING, SETTLED_MS)).isFalse();
		this.requests.receive(new CrashHistory(CRASHING, List.of(new CrashHistory.Crash("e-2", 350, false)), -1),
				START_MS + 350);
		assertThat(refused(CRASHING, SETTLED_MS)).isFalse();
	}

	// The upstream resets a connection every 50 ms and answers on others. If each
	// reset counted anew, it would postpone the time from which answers show that the
	// upstream survived.
	@Test
	void anUpstreamThatKeepsResettingConnectionsHasNotCrashed() {
		crash(CRASHING, "e-1", 0);
		crash(CRASHING, "e-2", 0);
		crash(CRASHING, "e-3", 0);
		for (int atMs = 0; atMs < SETTLED_MS; atMs += 50) {
			crash(new RequestFingerprint(100 + atMs), "e-1", atMs);
			this.requests.answered("e-1", START_MS + atMs);
		}

		assertThat(refused(CRASHING, SETTLED_MS)).isFalse();
	}

	// A draft is cut at three upstreams at the same time, before any of them can be
	// seen to be still running.
	@Test
	void aCrashThatHadNotBegunTheRequestCountsAfterTheSettlingTime() {
		crashThreeTimes(this.requests, 0);

		assertThat(refused(CRASHING, SETTLED_MS - 1)).isFalse();
		assertThat(refused(CRASHING, SETTLED_MS)).isTrue();
	}

	// Data that an upstream sent before its crash is read a few milliseconds later; a
	// restarted upstream answers after some seconds, under whatever name the list has
	// for it.
	@Test
	void dataSentBeforeTheCrashOrAfterTheRestartIsNoSignOfSurvival() {
		crash(CRASHING, "e-1", 0);
		crash(CRASHING, "e-2", 0);
		crash(CRASHING, "e-3", 0);

		this.requests.answered("e-1", START_MS + 5);
		this.requests.answered("e-2", START_MS + UpstreamSurvival.SURVIVED_UNTIL_MS);

		assertThat(refused(CRASHING, UpstreamSurvival.SURVIVED_UNTIL_MS)).isTrue();
	}

	// Several copies of the request run on one upstream at once: its crash counts
	// once.
	@Test
	void oneCrashOfAnUpstreamCountsOnce() {
		crash(CRASHING, "e-1", 0);
		crash(CRASHING, "e-1", 5);
		crash(CRASHING, "e-1", 20);

		assertThat(crash(CRASHING, "e-2", 30)).isEqualTo(2);
	}

	// The list still has the previous incarnation: the upstream crashed again under
	// the same name.
	@Test
	void anUpstreamThatCrashesAgainCountsAgain() {
		crash(CRASHING, "e-1", 0);
		crash(CRASHING, "e-1", CrashingRequests.SAME_CRASH_MS);

		assertThat(crash(CRASHING, "e-1", 2 * CrashingRequests.SAME_CRASH_MS)).isEqualTo(3);
	}

	// A draft that ran for seconds is cut by the crash of another request, and fails
	// over to the upstream that the crashing request reaches next.
	@Test
	void aRequestThatRanWellIsNotSuspected() {
		this.requests.ranWell(OTHER, START_MS);
		crash(OTHER, "e-1", 10);
		crash(OTHER, "e-2", 20);
		crash(OTHER, "e-3", 30);

		assertThat(refused(OTHER, 40 + SETTLED_MS)).isFalse();
	}

	@Test
	void aRequestThatRanWellLongAgoIsSuspectedAgain() {
		this.requests.ranWell(CRASHING, START_MS);
		long later = CrashingRequests.HARMLESS_MS + 1;
		crash(CRASHING, "e-1", later);
		crash(CRASHING, "e-2", later + 10);
		crash(CRASHING, "e-3", later + 20);

		assertThat(refused(CRASHING, later + 20 + SETTLED_MS)).isTrue();
	}

	@Test
	void aRequestThatRunsWellIsNoLongerRefused() {
		crashThreeTimes(this.requests, 0);

		this.requests.ranWell(CRASHING, START_MS + 1000);

		assertThat(refused(CRASHING, 1001)).isFalse();
	}

	// All upstreams crash at once under the same poll of many callers: the poll must
	// not be refused permanently.
	@Test
	void aRefusedRequestIsRetriedOnceAfterThePause() {
		crashThreeTimes(this.requests, 0);
		long pauseMs = CrashingRequests.FIRST_PAUSE_MS;

		assertThat(refusal(pauseMs - 1, true)).isPresent();
		assertThat(refusal(pauseMs, false)).isPresent();
		assertThat(refusal(pauseMs, true)).isEmpty();
		assertThat(refusal(pauseMs + 1, true)).isPresent();
	}

	@Test
	void eachFurtherCrashLengthensThePause() {
		crashThreeTimes(this.requests, 0);
		crash(CRASHING, "e-4", CrashingRequests.FIRST_PAUSE_MS);

		assertThat(refusal(2 * CrashingRequests.FIRST_PAUSE_MS, true)).isPresent();
		assertThat(refusal((1 + CrashingRequests.PAUSE_FACTOR) * CrashingRequests.FIRST_PAUSE_MS, true)).isEmpty();
	}

	@Test
	void theRefusalStatesWhenTheRequestMayBeRetried() {
		crashThreeTimes(this.requests, 0);

		assertThat(refusal(1000, true)).hasValueSatisfying((refusal) -> {
			assertThat(refusal.crashes()).isEqualTo(3);
			assertThat(refusal.retryAfterMs()).isEqualTo(CrashingRequests.FIRST_PAUSE_MS - 1000);
		});
	}

	@Test
	void crashesObservedByDifferentRoutersAddUp() {
		CrashingRequests second = new CrashingRequests();
		CrashingRequests third = new CrashingRequests();
		crash(CRASHING, "e-1", 0);
		second.crashed(CRASHING, "e-2", false, START_MS);
		third.crashed(CRASHING, "e-3", false, START_MS);

		send(second, this.requests, 10);
		send(third, this.requests, 10);

		assertThat(refused(CRASHING, SETTLED_MS)).isTrue();
	}

	@Test
	void aHistoryReceivedTwiceCountsOnce() {
		CrashingRequests second = new CrashingRequests();
		second.crashed(CRASHING, "e-2", false, START_MS);
		for (int at = 0; at < 500; at += 100) {
			send(second, this.requests, at);
			send(this.requests, second, at + 50);
		}

		assertThat(crash(CRASHING, "e-3", 500)).isEqualTo(2);
	}

	// A newly started router has to receive what is refused, however old the refusal
	// is.
	@Test
	void aRefusedRequestIsSentToPeersAsLongAsItIsRefused() {
		crashThreeTimes(this.requests, 0);

		assertThat(this.requests.historiesToSend(START_MS + CrashingRequests.RETENTION_MS / 2)).hasSize(1);
		assertThat(this.requests.historiesToSend(START_MS + CrashingRequests.RETENTION_MS + 1)).isEmpty();
	}

	@Test
	void aSingleCrashIsSentDuringThePropagationTimeOnly() {
		crash(CRASHING, "e-1", 0);

		assertThat(this.requests.historiesToSend(START_MS + 1)).hasSize(1);
		assertThat(this.requests.historiesToSend(START_MS + CrashingRequests.PROPAGATION_MS)).isEmpty();
	}

	@Test
	void aRouterThatSuspectsARequestReceivesThatItRanWellElsewhere() {
		CrashingRequests second = new CrashingRequests();
		crashThreeTimes(second, 0);
		this.requests.ranWell(CRASHING, START_MS);

		send(second, this.requests, 10);
		send(this.requests, second, 20);

		assertThat(second.refusal(CRASHING, START_MS + 30, () -> false)).isEmpty();
		assertThat(second.refusal(CRASHING, START_MS + SETTLED_MS, () -> false)).isEmpty();
		assertThat(refused(CRASHING, SETTLED_MS)).isFalse();
	}

	// Every engine of a large fleet crashes: the number of tracked requests and the
	// size of messages stay bounded, and refused requests stay refused.
	@Test
	void aCrashOfManyEvictsNoRefusedRequest() {
		crashThreeTimes(this.requests, -SETTLED_MS);
		for (int index = 100; index < 100 + 2 * CrashingRequests.MAX_SUSPECTS; index++) {
			crash(new RequestFingerprint(index), "e-4", 10);
		}

		assertThat(refused(CRASHING, 20)).isTrue();
		assertThat(this.requests.historiesToSend(START_MS + 20)).hasSize(CrashingRequests.MAX_HISTORIES_SENT)
			.first()
			.extracting(CrashHistory::fingerprint)
			.isEqualTo(CRASHING);
	}

	@Test
	void aRestoredRefusalIsRefusedAndRetriedLikeAnyOther() {
		this.requests.restored(CRASHING, START_MS);

		assertThat(refused(CRASHING, 1)).isTrue();
		assertThat(refusal(CrashingRequests.FIRST_PAUSE_MS, true)).isEmpty();
		assertThat(crash(CRASHING, "e-4", CrashingRequests.FIRST_PAUSE_MS + 5)).isEqualTo(1);
		assertThat(refused(CRASHING, CrashingRequests.FIRST_PAUSE_MS + 10)).isTrue();
		this.requests.ranWell(CRASHING, START_MS + CrashingRequests.FIRST_PAUSE_MS + 20);
		assertThat(refused(CRASHING, CrashingRequests.FIRST_PAUSE_MS + 30)).isFalse();
	}

	@Test
	void invalidAgesAreIgnored() {
		List<CrashHistory.Crash> crashes = List.of(new CrashHistory.Crash("e-1", -5, false),
				new CrashHistory.Crash("e-2", Long.MAX_VALUE, false), new CrashHistory.Crash("e-3", 5, false));

		this.requests.receive(new CrashHistory(CRASHING, crashes, Long.MIN_VALUE), START_MS);

		assertThat(crash(CRASHING, "e-4", 0)).isEqualTo(2);
	}

	private static void crashThreeTimes(CrashingRequests requests, long atMs) {
		requests.crashed(CRASHING, "e-1", false, START_MS + atMs);
		requests.crashed(CRASHING, "e-2", false, START_MS + atMs);
		requests.crashed(CRASHING, "e-3", false, START_MS + atMs);
	}

	private static void send(CrashingRequests from, CrashingRequests to, long atMs) {
		from.historiesToSend(START_MS + atMs).forEach((history) -> to.receive(history, START_MS + atMs));
	}

	private int crash(RequestFingerprint request, String upstream, long atMs) {
		return this.requests.crashed(request, upstream, false, START_MS + atMs);
	}

	private boolean refused(RequestFingerprint request, long atMs) {
		return this.requests.refusal(request, START_MS + atMs, () -> false).isPresent();
	}

	private Optional<CrashingRequests.Refusal> refusal(long atMs, boolean mayRetry) {
		return this.requests.refusal(CRASHING, START_MS + atMs, () -> mayRetry);
	}

}
