package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.router.StallRules.Pause;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When stalled streams cause status queries to engines.
 */
class StallRulesTests {

	private static final double GAP_MS = 46;

	// Guards against pauses of 280 to 460 ms where callers are promised 250: an engine
	// of a path crashes, eight streams over it stop, each somewhere between two
	// events, and no engine is queried until one of the streams has been late for
	// three gaps. Together the streams are evidence 55 ms sooner.
	@Test
	void aCrashedEngineIsQueriedAsSoonAsAllItsStreamsAreLate() {
		assertThat(firstQueriedMs(true)).isBetween(80L, 90L);
		assertThat(firstQueriedMs(false)).isGreaterThan(135L);
	}

	private static long firstQueriedMs(boolean together) {
		for (long sinceCrashMs = 0; sinceCrashMs < 1000; sinceCrashMs++) {
			List<Pause> pauses = new ArrayList<>();
			for (int stream = 0; stream < 8; stream++) {
				// The last event arrived up to one gap before the crash; the first
				// stream received its event at the moment of the crash.
				pauses.add(pause(sinceCrashMs + (long) (stream * GAP_MS / 8), "first", "crashed"));
			}
			boolean queried = together ? StallRules.stalledEngines(pauses).contains("crashed")
					: StallRules.lateAlone(pauses.getFirst());
			if (queried) {
				return sinceCrashMs;
			}
		}
		return Long.MAX_VALUE;
	}

	// A long prompt delays some streams of a path while others make progress: no
	// engine is queried.
	@Test
	void anEngineThatAdvancesOneStreamIsNotQueried() {
		List<Pause> pauses = List.of(pause(120, "a"), pause(120, "a"), pause(120, "a"), pause(20, "a"));

		assertThat(StallRules.stalledEngines(pauses)).isEmpty();
	}

	@Test
	void anEngineOfTheSamePathThatAdvancesOtherStreamsIsLeftOut() {
		List<Pause> pauses = List.of(pause(120, "crashed", "running"), pause(120, "crashed", "running"),
				pause(120, "crashed", "running"), pause(10, "running", "other"));

		assertThat(StallRules.stalledEngines(pauses)).containsExactly("crashed");
	}

	@Test
	void twoLateStreamsAreNotSufficientEvidence() {
		assertThat(StallRules.stalledEngines(List.of(pause(120, "a"), pause(120, "a")))).isEmpty();
	}

	@Test
	void aStreamWithoutEventsIsNoEvidence() {
		Pause reading = new Pause(List.of("a"), false, Double.MAX_VALUE, 300);

		assertThat(StallRules.stalledEngines(List.of(reading, reading, reading))).isEmpty();
		assertThat(StallRules.lateAlone(reading)).isFalse();
		assertThat(StallRules.shouldFailOver(reading)).isTrue();
	}

	// Guards against restarts of all drafts of a failure domain: they were restarted
	// twice after a router restart. A router with a cold processor needs 4 ms for each
	// status query, queries 36 engines in a row and processes the replies after the
	// last query. The replies missing by then are no evidence against the engines.
	@Test
	void aRouterThatIsSlowItselfJudgesNoEngine() {
		long finishedMs = 36 * 4;
		for (long queriedMs = 0; queriedMs < finishedMs; queriedMs += 4) {
			long judgedMs = Math.max(finishedMs, queriedMs + 80);
			long ownDelayMs = finishedMs - 20;
			assertThat(StallRules.conclusive(judgedMs - queriedMs, 80, ownDelayMs)).isFalse();
		}
	}

	@Test
	void aSilentEngineIsJudgedByARouterThatKeepsUp() {
		assertThat(StallRules.conclusive(82, 80, 3)).isTrue();
		assertThat(StallRules.conclusive(140, 80, 3)).isFalse();
		assertThat(StallRules.conclusive(82, 80, 60)).isFalse();
	}

	// Guards against unnecessary wake-ups: each of 88 routers was woken 50 times a
	// second for streams that made normal progress. A check is needed when the first
	// of them could be late, and immediately if one is late already.
	@Test
	void theNextCheckIsDueWhenAStreamCouldBeLate() {
		List<String> path = List.of("a", "b");

		assertThat(StallRules.untilLateMs(new StallRules.Pause(path, true, 40, 10))).isEqualTo(62);
		assertThat(StallRules.untilLateMs(new StallRules.Pause(path, true, 40, 500))).isZero();
		assertThat(StallRules.untilLateMs(new StallRules.Pause(path, false, Double.MAX_VALUE, 100))).isEqualTo(300);
	}

	@Test
	void aStreamThatStillGetsEventsStaysWhereItIs() {
		assertThat(StallRules.shouldFailOver(pause(40, "a"))).isFalse();
		assertThat(StallRules.shouldFailOver(pause(80, "a"))).isTrue();
	}

	private static Pause pause(long quietMs, String... engines) {
		return new Pause(List.of(engines), true, GAP_MS, quietMs);
	}

}
