package io.whinjunction.loss;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a router's log says of requests that were not on time.
 */
class LossAnalyzerTests {

	private final LossAnalyzer account = new LossAnalyzer();

	@Test
	void aRequestOnTimeIsCountedAndIsNoLoss() {
		this.account.read(stream("r1", 48, 60));

		assertThat(this.account.requests()).isOne();
		assertThat(this.account.losses()).isEmpty();
	}

	// An engine in the middle of a path died; the stream went on by another path, 230 ms
	// later, where 200 were promised.
	@Test
	void aPauseBehindADetourIsALostEngine() {
		this.account.read("time=t level=INFO event=detour id=r1 faulty=10.0.0.1:80 hops=9 reply=\"Accepted[]\"");
		this.account.read(stream("r1", 48, 230));

		assertThat(this.account.losses()).singleElement().satisfies((loss) -> {
			assertThat(loss.cause()).isEqualTo(LossCause.ENGINE_LOST);
			assertThat(loss.domain()).isEqualTo("b");
			assertThat(loss.evidence()).contains("gap-ms=230/200");
		});
	}

	@Test
	void aLateFirstEventBehindALostAnswerIsThatAnswer() {
		this.account.read("time=t event=attempt id=r1 end=Unknown reason=\"connection ended without an answer\" "
				+ "upstream=e faulty=- hops=9 left-ms=19000");
		this.account.read(stream("r1", 1048, 60));

		assertThat(cause()).isEqualTo(LossCause.ANSWER_LOST);
	}

	@Test
	void aPauseWithNothingBeforeItIsASlowOne() {
		this.account.read(stream("r1", 48, 260));

		assertThat(cause()).isEqualTo(LossCause.SLOW_PAUSE);
	}

	@Test
	void aLateFirstEventWithNothingBeforeItIsReadingOrAQueue() {
		this.account.read(stream("r1", 700, 60));

		assertThat(cause()).isEqualTo(LossCause.FIRST_LATE);
	}

	@Test
	void aRefusalKeepsItsReason() {
		this.account.read("event=request id=r1 outcome=refused reason=no-upstream kind=STREAMING domain=- sent=0");

		assertThat(cause()).isEqualTo(LossCause.REFUSED);
		assertThat(this.account.losses().getFirst().evidence()).contains("reason=no-upstream");
	}

	@Test
	void theTrailOfOneRequestIsNotTakenForAnothers() {
		this.account.read("event=attempt id=r1 end=Unknown reason=stalled faulty=10.0.0.1:80");
		this.account.read(stream("r2", 48, 260));

		assertThat(cause()).isEqualTo(LossCause.SLOW_PAUSE);
	}

	@Test
	void deniedRequestsAndCallersThatLeftAreNoLosses() {
		this.account.read("event=request id=r1 outcome=denied reason=no-route");
		this.account.read("event=request id=r2 outcome=gone reason=caller-gone");
		this.account.read("no structured line at all");

		assertThat(this.account.requests()).isZero();
		assertThat(this.account.losses()).isEmpty();
	}

	private LossCause cause() {
		assertThat(this.account.losses()).hasSize(1);
		return this.account.losses().getFirst().cause();
	}

	private static String stream(String id, long firstMs, long gapMs) {
		return "0.31 edge-1 time=2026-05-14T17:15:00.213Z level=INFO event=request id=" + id
				+ " outcome=answered reason=stream kind=STREAMING route=r service=s team=t sent=1 not-sent=0 events=40"
				+ " tokens=700+300 first-ms=" + firstMs + " gap-ms=" + gapMs
				+ " took-ms=2900 aim-ms=500 gap-aim-ms=200 upstream=e-1 domain=b hops=9 version=2 proof-age-ms=9";
	}

}
