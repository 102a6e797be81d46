package io.whinjunction.entry;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.http.server.Request;
import io.whinjunction.outcome.Refusal.Code;
import io.whinjunction.time.Ticker;
import org.junit.jupiter.api.Test;
import tools.jackson.databind.node.ObjectNode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Gate}.
 */
class GateTests {

	private static final Request HEAD = new Request("POST", "/v1/completions", "", List.of(), new byte[0]);

	private final Freshness freshness = new Freshness(1000);

	private final List<String> seenWhileWaiting = new ArrayList<>();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final Gate gate = new Gate(this.configuration, this.freshness, "poa-a", new LookingTicker());

	private long nowMs;

	private long confirmedAgainAtMs = Long.MAX_VALUE;

	private Runnable meanwhile = () -> {
	};

	// An entry without a notice was told to stop and said that it isn't ready; a request
	// sent after that was taken and answered. Between the two words the stopping thread
	// waited for no time at all, which on a starved machine lets all other threads run.
	@Test
	void aStopWithoutNoticeNeverTakesRequestsWhileItIsNotReady() throws InterruptedException {
		this.freshness.confirmed(0);
		this.gate.rejectRequestsAfter(0);
		assertThat(this.seenWhileWaiting).doesNotContain("not ready, takes requests");
		assertThat(state()).isEqualTo("not ready, refuses");
	}

	@Test
	void aStopWithNoticeIsNotReadyAtOnceAndTakesRequestsUntilTheNoticeIsOver() throws InterruptedException {
		this.freshness.confirmed(0);
		assertThat(state()).isEqualTo("ready, takes requests");
		this.gate.rejectRequestsAfter(500);
		assertThat(this.seenWhileWaiting).containsExactly("not ready, takes requests");
		assertThat(state()).isEqualTo("not ready, refuses");
	}

	// A caller's draft breaks off in the middle. Its entry stood still for so long that
	// its proof of the configuration ran out; when it runs again it gives up the draft,
	// and has a new proof a few milliseconds later. No step may be sent meanwhile, but
	// the
	// draft can wait.
	@Test
	void aDraftThatHasBegunWaitsForTheNextProof() throws InterruptedException {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		this.confirmedAgainAtMs = 1700;
		assertThat(this.gate.awaitPlacement("agencia", () -> false)).isNotNull();
		assertThat(this.nowMs).isBetween(1700L, 1800L);
	}

	// While the draft waits the rule is tightened, and the next proof is one of the new
	// revision: the old permission must not come back with it.
	@Test
	void aRuleThatWasTightenedMeanwhileIsInForceAfterTheWait() throws InterruptedException {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		this.confirmedAgainAtMs = 1700;
		this.meanwhile = () -> this.configuration.offer(manifest(2, "cxs"));
		assertThat(this.gate.awaitPlacement("agencia", () -> false)).isNull();
		assertThat(this.configuration.configuration().revision()).isEqualTo(2);
	}

	// An entry that is cut off must not hold on to its drafts for long.
	@Test
	void aDraftWaitsForAProofNoLongerThanItsLimit() throws InterruptedException {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		assertThat(this.gate.awaitPlacement("agencia", () -> false)).isNull();
		assertThat(this.nowMs).isBetween(1500 + Gate.MAX_PROOF_WAIT_MS, 1600 + Gate.MAX_PROOF_WAIT_MS);
	}

	// A draft waits for a proof, and its caller leaves: it must not hold its place any
	// longer.
	@Test
	void aWaitForAProofEndsWithTheDraft() {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		assertThat(this.gate.awaitPlacement("agencia", () -> this.nowMs >= 1600)).isNull();
		assertThat(this.nowMs).isEqualTo(1600);
	}

	// Where the configuration is known and forbids it there is nothing to wait for.
	@Test
	void aDraftOfATeamThatMayNotBeHereDoesNotWait() throws InterruptedException {
		this.configuration.offer(manifest(1, "cxs"));
		this.freshness.confirmed(0);
		assertThat(this.gate.awaitPlacement("agencia", () -> false)).isNull();
		assertThat(this.nowMs).isZero();
		assertThat(this.configuration.configuration().revision()).isEqualTo(1);
	}

	private static Manifest manifest(long revision, String place) {
		return new Manifest(revision, (ObjectNode) Json.MAPPER.readTree("""
				{"places": {"poa": {"region": "rs-sul", "failure-domains": ["poa-a"]},
				"cxs": {"region": "rs-sul", "failure-domains": ["cxs-a"]}},
				"teams": {"agencia": {"key-sha256": ["%s"], "services": [], "places": ["%s"]}}}
				""".formatted("a".repeat(64), place)), "n");
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
			return GateTests.this.nowMs;
		}

		@Override
		public void sleepMs(long durationMs) {
			GateTests.this.seenWhileWaiting.add(state());
			GateTests.this.nowMs += durationMs;
			if (GateTests.this.nowMs >= GateTests.this.confirmedAgainAtMs) {
				GateTests.this.meanwhile.run();
				GateTests.this.freshness.confirmed(GateTests.this.nowMs);
			}
		}

	}

}
