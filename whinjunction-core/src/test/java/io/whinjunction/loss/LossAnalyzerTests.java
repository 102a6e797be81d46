package io.whinjunction.loss;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LossAnalyzer}.
 */
class LossAnalyzerTests {

	private final LossAnalyzer analyzer = new LossAnalyzer();

	@Test
	void aRequestOnTimeIsCountedButIsNotALoss() {
		this.analyzer.read(stream("r1", 48, 60));

		assertThat(this.analyzer.requests()).isOne();
		assertThat(this.analyzer.losses()).isEmpty();
	}

	// An engine in the middle of a path crashed; the stream resumed on another path after
	// 230 ms, where the target is 200 ms.
	@Test
	void aPauseAfterADetourIsAttributedToTheLostEngine() {
		this.analyzer.read("time=t level=INFO event=detour id=r1 faulty=10.0.0.1:80 hops=9 reply=\"Accepted[]\"");
		this.analyzer.read(stream("r1", 48, 230));

		assertThat(this.analyzer.losses()).singleElement().satisfies((loss) -> {
			assertThat(loss.cause()).isEqualTo(LossCause.ENGINE_LOST);
			assertThat(loss.domain()).isEqualTo("b");
			assertThat(loss.evidence()).contains("gap-ms=230/200");
		});
	}

	@Test
	void aLateFirstEventAfterALostAnswerIsAttributedToThatAnswer() {
		this.analyzer.read("time=t event=attempt id=r1 end=Unknown reason=\"connection ended without an answer\" "
				+ "upstream=e faulty=- hops=9 left-ms=19000");
		this.analyzer.read(stream("r1", 1048, 60));

		assertThat(cause()).isEqualTo(LossCause.ANSWER_LOST);
	}

	@Test
	void aPauseWithoutAFailureBeforeItIsASlowPause() {
		this.analyzer.read(stream("r1", 48, 260));

		assertThat(cause()).isEqualTo(LossCause.SLOW_PAUSE);
	}

	@Test
	void aLateFirstEventWithoutAFailureBeforeItIsFirstLate() {
		this.analyzer.read(stream("r1", 700, 60));

		assertThat(cause()).isEqualTo(LossCause.FIRST_LATE);
	}

	@Test
	void aRefusalKeepsItsReason() {
		this.analyzer.read("event=request id=r1 outcome=refused reason=no-upstream kind=STREAMING domain=- sent=0");

		assertThat(cause()).isEqualTo(LossCause.REFUSED);
		assertThat(this.analyzer.losses().getFirst().evidence()).contains("reason=no-upstream");
	}

	@Test
	void theHistoryOfOneRequestDoesNotAffectAnother() {
		this.analyzer.read("event=attempt id=r1 end=Unknown reason=stalled faulty=10.0.0.1:80");
		this.analyzer.read(stream("r2", 48, 260));

		assertThat(cause()).isEqualTo(LossCause.SLOW_PAUSE);
	}

	@Test
	void deniedRequestsAndDisconnectedCallersAreNotLosses() {
		this.analyzer.read("event=request id=r1 outcome=denied reason=no-route");
		this.analyzer.read("event=request id=r2 outcome=gone reason=caller-gone");
		this.analyzer.read("no structured line at all");

		assertThat(this.analyzer.requests()).isZero();
		assertThat(this.analyzer.losses()).isEmpty();
	}

	private LossCause cause() {
		assertThat(this.analyzer.losses()).hasSize(1);
		return this.analyzer.losses().getFirst().cause();
	}

	private static String stream(String id, long firstMs, long gapMs) {
		return "0.31 edge-1 time=2026-05-14T17:15:00.213Z level=INFO event=request id=" + id
				+ " outcome=answered reason=stream kind=STREAMING route=r service=s team=t sent=1 not-sent=0 events=40"
				+ " tokens=700+300 first-ms=" + firstMs + " gap-ms=" + gapMs
				+ " took-ms=2900 aim-ms=500 gap-aim-ms=200 upstream=e-1 domain=b hops=9 version=2 proof-age-ms=9";
	}

}
