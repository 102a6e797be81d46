package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.router.StallRules.Pause;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When streams that stand still have engines asked.
 */
class StallRulesTests {

	private static final double GAP_MS = 46;

	// Callers see a pause of 280 to 460 ms where 250 are promised: an engine of a path
	// dies, eight streams over it stop, each somewhere between two events, and nobody is
	// asked until one of them has been late for three gaps. Together they are a sign 55
	// ms sooner.
	@Test
	void aDeadEngineIsAskedAsSoonAsAllItsStreamsAreLate() {
		assertThat(firstAskedMs(true)).isBetween(80L, 90L);
		assertThat(firstAskedMs(false)).isGreaterThan(135L);
	}

	private static long firstAskedMs(boolean together) {
		for (long sinceDeathMs = 0; sinceDeathMs < 1000; sinceDeathMs++) {
			List<Pause> pauses = new ArrayList<>();
			for (int stream = 0; stream < 8; stream++) {
				// The last event came up to one gap before the death; the first stream
				// had its event just then.
				pauses.add(pause(sinceDeathMs + (long) (stream * GAP_MS / 8), "first", "dead"));
			}
			boolean asked = together ? StallRules.stalledEngines(pauses).contains("dead")
					: StallRules.lateAlone(pauses.getFirst());
			if (asked) {
				return sinceDeathMs;
			}
		}
		return Long.MAX_VALUE;
	}

	// A long prompt delays some streams of a path, others go on: nobody is asked.
	@Test
	void anEngineThatMovesOneStreamIsNotAsked() {
		List<Pause> pauses = List.of(pause(120, "a"), pause(120, "a"), pause(120, "a"), pause(20, "a"));

		assertThat(StallRules.stalledEngines(pauses)).isEmpty();
	}

	@Test
	void anEngineOfTheSamePathThatMovesOtherStreamsIsLeftOut() {
		List<Pause> pauses = List.of(pause(120, "dead", "lives"), pause(120, "dead", "lives"),
				pause(120, "dead", "lives"), pause(10, "lives", "other"));

		assertThat(StallRules.stalledEngines(pauses)).containsExactly("dead");
	}

	@Test
	void twoLateStreamsAreNoSignYet() {
		assertThat(StallRules.stalledEngines(List.of(pause(120, "a"), pause(120, "a")))).isEmpty();
	}

	@Test
	void aStreamWithoutEventsSaysNothing() {
		Pause reading = new Pause(List.of("a"), false, Double.MAX_VALUE, 300);

		assertThat(StallRules.stalledEngines(List.of(reading, reading, reading))).isEmpty();
		assertThat(StallRules.lateAlone(reading)).isFalse();
		assertThat(StallRules.shouldFailOver(reading)).isTrue();
	}

	// All drafts of a zone begin anew twice after a restart: a router with a cold
	// processor needs 4 ms for each question, asks 36 engines in a row and looks at the
	// answers when it is through. What it missed meanwhile says nothing of the engines.
	@Test
	void aRouterThatIsSlowItselfJudgesNoEngine() {
		long throughMs = 36 * 4;
		for (long askedMs = 0; askedMs < throughMs; askedMs += 4) {
			long judgedMs = Math.max(throughMs, askedMs + 80);
			long ownDelayMs = throughMs - 20;
			assertThat(StallRules.conclusive(judgedMs - askedMs, 80, ownDelayMs)).isFalse();
		}
	}

	@Test
	void aSilentEngineIsJudgedByARouterThatKeepsUp() {
		assertThat(StallRules.conclusive(82, 80, 3)).isTrue();
		assertThat(StallRules.conclusive(140, 80, 3)).isFalse();
		assertThat(StallRules.conclusive(82, 80, 60)).isFalse();
	}

	// Each of 88 routers was woken 50 times a second for streams that went on as usual. A
	// look is needed when the first of them could be late, and at once where one is.
	@Test
	void theNextLookIsDueWhenAStreamCouldBeLate() {
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
