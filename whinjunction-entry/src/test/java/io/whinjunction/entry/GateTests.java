package io.whinjunction.entry;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.http.server.Request;
import io.whinjunction.outcome.Refusal.Code;
import io.whinjunction.time.Ticker;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Gate}.
 */
class GateTests {

	private static final Request HEAD = new Request("POST", "/v1/completions", "", List.of(), new byte[0]);

	private final Freshness freshness = new Freshness(1000);

	private final List<String> seenWhileWaiting = new ArrayList<>();

	private final Gate gate = new Gate(new ConfigurationHolder(), this.freshness, "poa-a", new LookingTicker());

	// An entry without a notice was told to stop and said that it isn't ready; a request
	// sent after that was taken and answered. Between the two words the stopping thread
	// waited for no time at all, which on a starved machine lets all other threads run.
	@Test
	void aStopWithoutNoticeNeverTakesRequestsWhileItIsNotReady() throws InterruptedException {
		this.freshness.confirmed(0);
		this.gate.stopAfter(0);
		assertThat(this.seenWhileWaiting).doesNotContain("not ready, takes requests");
		assertThat(state()).isEqualTo("not ready, refuses");
	}

	@Test
	void aStopWithNoticeIsNotReadyAtOnceAndTakesRequestsUntilTheNoticeIsOver() throws InterruptedException {
		this.freshness.confirmed(0);
		assertThat(state()).isEqualTo("ready, takes requests");
		this.gate.stopAfter(500);
		assertThat(this.seenWhileWaiting).containsExactly("not ready, takes requests");
		assertThat(state()).isEqualTo("not ready, refuses");
	}

	private String state() {
		// A key that nobody has is looked at only by a gate that takes requests.
		Gate.Verdict verdict = this.gate.check(HEAD);
		assertThat(verdict).isInstanceOf(Gate.Verdict.Refused.class);
		boolean refuses = ((Gate.Verdict.Refused) verdict).refusal().code() == Code.STOPPING;
		return (this.gate.ready() ? "ready" : "not ready") + (refuses ? ", refuses" : ", takes requests");
	}

	/** Looks at the gate while its owner waits, as a balancer and a caller would. */
	private final class LookingTicker implements Ticker {

		@Override
		public long nowMs() {
			return 0;
		}

		@Override
		public void sleepMs(long durationMs) {
			GateTests.this.seenWhileWaiting.add(state());
		}

	}

}
