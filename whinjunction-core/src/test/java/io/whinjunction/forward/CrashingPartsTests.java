package io.whinjunction.forward;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which parts of prompts are refused because upstreams crash under requests with them.
 */
class CrashingPartsTests {

	private static final PromptPart FIRST = new PromptPart(1);

	private static final PromptPart CRASHING = new PromptPart(7);

	private static final PromptPart OTHER = new PromptPart(8);

	private static final long START_MS = 1_000_000;

	/** Time from the sending of a request to the crash under it, in milliseconds. */
	private static final long RUN_MS = 100;

	private static final long KNOWN_SPREAD_MS = CrashingParts.MIN_SPREAD_KNOWN_MS;

	private final CrashingParts parts = new CrashingParts();

	private int requests;

	@Test
	void aPartIsRefusedOnceThreeUpstreamsCrashedUnderItInTurn() {
		crash(0, CRASHING);
		crash(200, CRASHING);
		assertThat(refused(300, CRASHING)).isFalse();

		crash(400, CRASHING);

		assertThat(refused(500, CRASHING)).isTrue();
		assertThat(refused(500, OTHER, CRASHING)).isTrue();
		assertThat(refused(500, OTHER)).isFalse();
	}

	// Guards against a verdict on what most requests share when a failure domain ends.
	@Test
	void upstreamsThatCrashAtOnceCountAsOne() {
		for (int upstream = 0; upstream < 20; upstream++) {
			crashAt(upstream, 0, upstream, true, request(), CRASHING);
		}

		assertThat(refused(100, CRASHING)).isFalse();
	}

	@Test
	void oneRequestCondemnsNoPart() {
		RequestFingerprint one = request();
		for (int index = 0; index < CrashingParts.MAX_RECORDS; index++) {
			crashAt(index, 200L * index, 200L * index + RUN_MS, true, one, CRASHING);
		}

		assertThat(refused(2000, CRASHING)).isFalse();
	}

	@Test
	void aPartWithWhichARequestRanSuccessfullySinceIsNotSuspected() {
		crash(0, CRASHING);
		crash(200, CRASHING);

		ranWell(350, 900, CRASHING);
		crash(1000, CRASHING);
		crash(1200, CRASHING);
		crash(KNOWN_SPREAD_MS + 200, CRASHING);

		assertThat(refused(KNOWN_SPREAD_MS + 400, CRASHING)).isFalse();
	}

	// An earlier run shows little: the part may have become harmful since.
	@Test
	void aPartThatRanSuccessfullyBeforeIsRefusedAfterMoreCrashes() {
		ranWell(-700, -100, CRASHING);
		crash(0, CRASHING);
		crash(200, CRASHING);
		crash(400, CRASHING);
		assertThat(refused(500, CRASHING)).isFalse();

		crash(KNOWN_SPREAD_MS, CRASHING);

		assertThat(refused(KNOWN_SPREAD_MS + RUN_MS, CRASHING)).isTrue();
	}

	// Guards against a verdict on a first part that all requests with the crashing part
	// have in common.
	@Test
	void aPartThatRanSuccessfullyBeforeIsNotBlamedForOneThatDidNot() {
		ranWell(-700, -100, FIRST);
		for (int index = 0; index < CrashingParts.MAX_RECORDS; index++) {
			crash(400L * index, FIRST, CRASHING);
		}

		assertThat(refused(4000, FIRST, CRASHING)).isTrue();
		assertThat(refused(4000, CRASHING)).isTrue();
		assertThat(refused(4000, FIRST)).isFalse();
		assertThat(refused(4000, FIRST, OTHER)).isFalse();
	}

	@Test
	void whereTwoPartsExplainAllCrashesOnlyRequestsWithBothAreRefused() {
		crash(0, FIRST, CRASHING);
		crash(200, FIRST, CRASHING);
		crash(400, FIRST, CRASHING);

		assertThat(refused(500, FIRST, CRASHING)).isTrue();
		assertThat(refused(500, FIRST, OTHER)).isFalse();
		assertThat(refused(500, CRASHING, OTHER)).isFalse();
	}

	@Test
	void theNextCrashDecidesWhichOfTwoPartsIsToBlame() {
		crash(0, FIRST, CRASHING);
		crash(200, FIRST, CRASHING);
		crash(400, FIRST, CRASHING);

		crash(600, OTHER, CRASHING);

		assertThat(refused(700, CRASHING)).isTrue();
		assertThat(refused(700, FIRST)).isFalse();
	}

	@Test
	void aSuccessfulRunDecidesWhichOfTwoPartsIsToBlame() {
		crash(0, FIRST, CRASHING);
		crash(200, FIRST, CRASHING);
		crash(400, FIRST, CRASHING);

		ranWell(550, 1100, FIRST);

		assertThat(refused(1100, CRASHING)).isTrue();
		assertThat(refused(1100, FIRST)).isFalse();
	}

	// Guards against a verdict that takes in a sound part of which a peer knows.
	@Test
	void anAlternativeThatIsFoundToRunSuccessfullyBeforeIsNoneAnyMore() {
		crash(0, FIRST, CRASHING);
		crash(200, FIRST, CRASHING);
		crash(400, FIRST, CRASHING);
		assertThat(refused(500, CRASHING, OTHER)).isFalse();

		ranWell(-700, -100, FIRST);

		assertThat(refused(510, CRASHING, OTHER)).isTrue();
		assertThat(refused(510, FIRST, OTHER)).isFalse();
	}

	// Engines that end in turn for another reason cut requests with all kinds of parts.
	@Test
	void crashesThatManyPartsExplainCondemnNone() {
		PromptPart[] many = new PromptPart[10];
		for (int index = 0; index < many.length; index++) {
			many[index] = new PromptPart(100 + index);
		}
		crash(0, many);
		crash(200, many);
		crash(400, many);

		assertThat(refused(500, many)).isFalse();
	}

	// Guards against engines that crash before they send the head of an answer.
	@Test
	void crashesOfUpstreamsThatHadNotBegunCountIfTheyAreMany() {
		for (int index = 0; index < CrashingParts.MAX_CRASHES_NOT_BEGUN; index++) {
			assertThat(refused(200L * index, CRASHING)).isFalse();
			crashAt(index, 200L * index, 200L * index + RUN_MS, false, request(), CRASHING);
		}

		assertThat(refused(1000, CRASHING)).isTrue();
	}

	@Test
	void anUpstreamThatIsStillRunningHasNotCrashed() {
		crash(0, CRASHING);
		crash(200, CRASHING);
		crash(400, CRASHING);

		this.parts.answered("e-400", START_MS + 500 + UpstreamSurvival.SURVIVED_FROM_MS);

		assertThat(refused(900, CRASHING)).isFalse();
	}

	@Test
	void crashesThatWereNoneAreWithdrawn() {
		crash(0, CRASHING);
		crash(200, CRASHING);
		crash(400, CRASHING);

		this.parts.retract("e-400"::equals, START_MS);

		assertThat(refused(500, CRASHING)).isFalse();
	}

	@Test
	void crashesObservedByDifferentRoutersAddUp() {
		CrashingParts second = new CrashingParts();
		crash(0, CRASHING);
		crash(200, CRASHING);
		send(this.parts, second, 320);
		second.crashed(request(), List.of(CRASHING),
				new CrashingParts.Crash("e-9", START_MS + 400, START_MS + 500, true), START_MS + 500);

		send(second, this.parts, 510);
		send(this.parts, second, 520);

		assertThat(refused(520, CRASHING)).isTrue();
		assertThat(second.refusedPart(List.of(CRASHING), START_MS + 530)).contains(CRASHING);
		assertThat(this.parts.crashes(CRASHING)).isEqualTo(3);
	}

	@Test
	void aRouterThatSuspectsAPartReceivesThatItRanSuccessfullyElsewhere() {
		CrashingParts second = new CrashingParts();
		second.ranWell(List.of(CRASHING), START_MS + 550, START_MS + 1100);
		crash(0, CRASHING);
		crash(200, CRASHING);
		crash(400, CRASHING);

		send(this.parts, second, 1200);
		send(second, this.parts, 1210);

		assertThat(refused(1220, CRASHING)).isFalse();
	}

	@Test
	void aRefusedPartIsToldAsLongAsItIsRefused() {
		crash(0, CRASHING);
		crash(200, CRASHING);
		assertThat(this.parts.historiesToSend(START_MS + 300)).hasSize(1);
		assertThat(this.parts.historiesToSend(START_MS + 300 + CrashingParts.PROPAGATION_MS)).isEmpty();

		crash(400, CRASHING);

		assertThat(this.parts.historiesToSend(START_MS + CrashingParts.VERDICT_RETENTION_MS - 1)).hasSize(1);
		assertThat(this.parts.historiesToSend(START_MS + CrashingParts.VERDICT_RETENTION_MS + 501)).isEmpty();
	}

	@Test
	void aRefusedPartIsRetriedByOneRouterAfterThePause() {
		crashThreeTimes();
		long pauseMs = 500 + CrashingRequests.FIRST_PAUSE_MS;

		assertThat(retried(pauseMs - 1, true)).isFalse();
		assertThat(retried(pauseMs, false)).isFalse();
		assertThat(retried(pauseMs, true)).isTrue();
		assertThat(retried(pauseMs + 1, true)).isFalse();
	}

	// At most three sends are allowed however long such requests come.
	@Test
	void aDayHasAtMostThreeRetriesOfAPartThatCrashesUpstreamsEachTime() {
		crashThreeTimes();
		int retries = 0;
		for (long atMs = 1000; atMs < CrashingParts.VERDICT_RETENTION_MS; atMs += 1000) {
			if (retried(atMs, true)) {
				retries++;
				crash(atMs, CRASHING);
			}
		}

		assertThat(retries).isLessThanOrEqualTo(3);
		assertThat(refused(CrashingParts.VERDICT_RETENTION_MS, CRASHING)).isTrue();
	}

	@Test
	void aRetryThatRunsSuccessfullyEndsTheRefusal() {
		crashThreeTimes();
		long retriedMs = 500 + CrashingRequests.FIRST_PAUSE_MS;
		assertThat(retried(retriedMs, true)).isTrue();

		ranWell(retriedMs + 50, retriedMs + 600, CRASHING);

		assertThat(refused(retriedMs + 600, CRASHING)).isFalse();
	}

	@Test
	void aVerdictSurvivesItsRecord() {
		crashThreeTimes();
		CrashingParts restarted = new CrashingParts();

		this.parts.verdicts(START_MS + 500)
			.forEach((verdict) -> assertThat(restarted.restore(verdict.toString(), START_MS + 600)).isTrue());

		assertThat(restarted.refusedPart(List.of(CRASHING), START_MS + 600)).contains(CRASHING);
		assertThat(restarted.verdicts(START_MS + 600)).isEqualTo(this.parts.verdicts(START_MS + 600));
	}

	@Test
	void aRestoredVerdictThatTwoPartsExplainConcernsRequestsWithBoth() {
		crash(0, FIRST, CRASHING);
		crash(200, FIRST, CRASHING);
		crash(400, FIRST, CRASHING);
		CrashingParts restarted = new CrashingParts();
		this.parts.verdicts(START_MS + 500).forEach((verdict) -> restarted.restore(verdict.toString(), START_MS + 600));
		CrashingParts third = new CrashingParts();
		send(restarted, third, 700);

		for (CrashingParts router : List.of(restarted, third)) {
			assertThat(router.refusedPart(List.of(FIRST, CRASHING), START_MS + 800)).isPresent();
			assertThat(router.refusedPart(List.of(FIRST), START_MS + 800)).isEmpty();
		}
	}

	// Guards against a part that crashes upstreams forever beside other parts than those
	// of the verdict that was restored.
	@Test
	void crashesAfterARestoreDecideAnew() {
		this.parts.restore(new PartVerdict(CRASHING, List.of(FIRST)).toString(), START_MS);
		assertThat(refused(1, CRASHING, OTHER)).isFalse();

		crash(100, OTHER, CRASHING);
		crash(300, CRASHING);
		crash(500, CRASHING);

		assertThat(refused(700, CRASHING, OTHER)).isTrue();
	}

	@Test
	void aNameThatIsNoVerdictRestoresNothing() {
		for (String name : List.of("part-", "part-12", "part-000000000000000x", "0000000000000007",
				"part-0000000000000007.", "part-0000000000000007.8")) {
			assertThat(this.parts.restore(name, START_MS)).as(name).isFalse();
		}
		assertThat(this.parts.verdicts(START_MS)).isEmpty();
	}

	// Guards against a caller that displaces a verdict by sending many parts.
	@Test
	void manyPartsDisplaceNeitherAVerdictNorASuspect() {
		crashThreeTimes();
		crashAt(90, 0, RUN_MS, true, request(), OTHER);
		crashAt(91, 200, 200 + RUN_MS, true, request(), OTHER);
		for (int index = 0; index < 3 * CrashingParts.MAX_SUSPECTS; index++) {
			crashAt(1000 + index, 600, 700, true, request(), new PromptPart(10_000 + index));
		}

		assertThat(refused(800, CRASHING)).isTrue();
		crashAt(92, 800, 900, true, request(), OTHER);
		assertThat(refused(900, OTHER)).isTrue();
		assertThat(this.parts.historiesToSend(START_MS + 900)).hasSize(CrashingParts.MAX_HISTORIES_SENT)
			.extracting(PartHistory::part)
			.startsWith(OTHER, CRASHING);
	}

	@Test
	void theRecordsOfAPartAreBounded() {
		for (int index = 0; index < 100; index++) {
			crash(200L * index, CRASHING);
		}

		assertThat(this.parts.historiesToSend(START_MS + 20_000).getFirst().crashes())
			.hasSize(CrashingParts.MAX_RECORDS);
	}

	@Test
	void invalidAgesAreIgnored() {
		List<PartHistory.Crash> crashes = List.of(new PartHistory.Crash("e-1", -5, 90, true, request()),
				new PartHistory.Crash("e-2", Long.MAX_VALUE, Long.MAX_VALUE, true, request()),
				new PartHistory.Crash("e-3", 50, 5, true, request()),
				new PartHistory.Crash("e-4", 5, Long.MAX_VALUE, true, request()));

		this.parts.receive(new PartHistory(CRASHING, crashes, Long.MIN_VALUE, PartHistory.Restored.NONE), START_MS);

		assertThat(this.parts.crashes(CRASHING)).isEqualTo(1);
		assertThat(refused(0, CRASHING)).isFalse();
	}

	private void crashThreeTimes() {
		crash(0, CRASHING);
		crash(200, CRASHING);
		crash(400, CRASHING);
	}

	// Another request crashes another upstream.
	private void crash(long sentMs, PromptPart... present) {
		crashAt(sentMs, sentMs, sentMs + RUN_MS, true, request(), present);
	}

	private void crashAt(long upstream, long sentMs, long atMs, boolean begun, RequestFingerprint request,
			PromptPart... present) {
		this.parts.crashed(request, List.of(present),
				new CrashingParts.Crash("e-" + upstream, START_MS + sentMs, START_MS + atMs, begun), START_MS + atMs);
	}

	private RequestFingerprint request() {
		return new RequestFingerprint(this.requests++);
	}

	private void ranWell(long begunMs, long atMs, PromptPart part) {
		this.parts.ranWell(List.of(part), START_MS + begunMs, START_MS + atMs);
	}

	private boolean refused(long atMs, PromptPart... present) {
		return this.parts.refusal(List.of(present), START_MS + atMs, (part) -> false).isPresent();
	}

	private boolean retried(long atMs, boolean mayRetry) {
		return this.parts.refusal(List.of(CRASHING), START_MS + atMs, (part) -> mayRetry).isEmpty();
	}

	private static void send(CrashingParts from, CrashingParts to, long atMs) {
		from.historiesToSend(START_MS + atMs).forEach((history) -> to.receive(history, START_MS + atMs));
	}

}
