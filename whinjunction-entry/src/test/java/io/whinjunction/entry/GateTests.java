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

	private final Gate gate = new Gate(this.configuration, this.freshness, "poa-a", new ObservingTicker());

	private long nowMs;

	private long nextConfirmationAtMs = Long.MAX_VALUE;

	private Runnable beforeConfirmation = () -> {
	};

	// Guards against requests accepted by an entry that already reports not ready. With a
	// notice of zero the stopping thread slept for 0 ms between the two writes, which
	// lets all other threads run on a starved machine.
	@Test
	void aStopWithoutNoticeNeverAcceptsRequestsWhileNotReady() throws InterruptedException {
		this.freshness.confirmed(0);
		this.gate.rejectRequestsAfter(0);
		assertThat(this.seenWhileWaiting).doesNotContain("not ready, accepts requests");
		assertThat(state()).isEqualTo("not ready, refuses");
	}

	@Test
	void aStopWithNoticeIsNotReadyAtOnceAndAcceptsRequestsUntilTheNoticeIsOver() throws InterruptedException {
		this.freshness.confirmed(0);
		assertThat(state()).isEqualTo("ready, accepts requests");
		this.gate.rejectRequestsAfter(500);
		assertThat(this.seenWhileWaiting).containsExactly("not ready, accepts requests");
		assertThat(state()).isEqualTo("not ready, refuses");
	}

	// Guards against drafts that break off needlessly: an entry was suspended until its
	// freshness proof expired, abandoned the draft when it resumed, and had a new proof a
	// few milliseconds later. No step may be sent meanwhile, but the draft can wait.
	@Test
	void aStartedDraftWaitsForTheNextProof() throws InterruptedException {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		this.nextConfirmationAtMs = 1700;
		assertThat(this.gate.awaitPlacement("agencia", () -> false)).isNotNull();
		assertThat(this.nowMs).isBetween(1700L, 1800L);
	}

	// The rule is tightened while the draft waits, and the next proof is of the new
	// revision: it must not restore the old permission.
	@Test
	void aRuleTightenedDuringTheWaitAppliesAfterIt() throws InterruptedException {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		this.nextConfirmationAtMs = 1700;
		this.beforeConfirmation = () -> this.configuration.offer(manifest(2, "cxs"));
		assertThat(this.gate.awaitPlacement("agencia", () -> false)).isNull();
		assertThat(this.configuration.configuration().revision()).isEqualTo(2);
	}

	// An entry that is cut off must not hold its drafts for long.
	@Test
	void aDraftWaitsForAProofNoLongerThanItsLimit() throws InterruptedException {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		assertThat(this.gate.awaitPlacement("agencia", () -> false)).isNull();
		assertThat(this.nowMs).isBetween(1500 + Gate.MAX_PROOF_WAIT_MS, 1600 + Gate.MAX_PROOF_WAIT_MS);
	}

	// The caller leaves while its draft waits for a proof: the draft must not keep its
	// slot any longer.
	@Test
	void aWaitForAProofEndsWithTheDraft() {
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		this.nowMs = 1500;
		assertThat(this.gate.awaitPlacement("agencia", () -> this.nowMs >= 1600)).isNull();
		assertThat(this.nowMs).isEqualTo(1600);
	}

	// Where a confirmed configuration forbids the draft, there is nothing to wait for.
	@Test
	void aDraftOfATeamNotPermittedHereDoesNotWait() throws InterruptedException {
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
		// Only a gate that accepts requests checks the key, which is unknown here.
		Gate.Verdict verdict = this.gate.check(HEAD);
		assertThat(verdict).isInstanceOf(Gate.Verdict.Refused.class);
		boolean refuses = ((Gate.Verdict.Refused) verdict).refusal().code() == Code.STOPPING;
		return (this.gate.ready() ? "ready" : "not ready") + (refuses ? ", refuses" : ", accepts requests");
	}

	/** Records the state of the gate at each sleep, as a balancer and a caller see it. */
	private final class ObservingTicker implements Ticker {

		@Override
		public long nowMs() {
			return GateTests.this.nowMs;
		}

		@Override
		public void sleepMs(long durationMs) {
			GateTests.this.seenWhileWaiting.add(state());
			GateTests.this.nowMs += durationMs;
			if (GateTests.this.nowMs >= GateTests.this.nextConfirmationAtMs) {
				GateTests.this.beforeConfirmation.run();
				GateTests.this.freshness.confirmed(GateTests.this.nowMs);
			}
		}

	}

}
