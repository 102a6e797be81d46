package io.whinjunction.entry;

import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.time.Ticker;
import org.junit.jupiter.api.Test;
import tools.jackson.databind.node.ObjectNode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link Gate} when a tightened rule comes into force during a check.
 */
class GateOrderTests {

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final Freshness freshness = new Freshness(1000);

	private long nowMs;

	private Runnable onClockRead = () -> {
	};

	// Guards against a step that is sent where its data may no longer be: the proof of
	// the old revision has expired; after the gate has read the old permission, a proof
	// of a tightened revision arrives and is taken as a proof of the old one.
	@Test
	void aProofOfATightenedRuleIsNoProofOfTheOldPermission() {
		Gate gate = new Gate(this.configuration, this.freshness, "poa-a", new TestTicker());
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		assertThat(gate.placement("agencia")).isNotNull();
		this.nowMs = 1500;
		this.onClockRead = () -> {
			this.configuration.offer(manifest(2, "cxs"));
			this.freshness.confirmed(this.nowMs);
		};
		assertThat(gate.placement("agencia")).isNull();
	}

	private static Manifest manifest(long revision, String place) {
		return new Manifest(revision, (ObjectNode) Json.MAPPER.readTree("""
				{"places": {"poa": {"region": "rs-sul", "failure-domains": ["poa-a"]},
				"cxs": {"region": "rs-sul", "failure-domains": ["cxs-a"]}},
				"teams": {"agencia": {"key-sha256": ["%s"], "services": [], "places": ["%s"]}}}
				""".formatted("a".repeat(64), place)), "n");
	}

	private final class TestTicker implements Ticker {

		@Override
		public long nowMs() {
			GateOrderTests.this.onClockRead.run();
			return GateOrderTests.this.nowMs;
		}

		@Override
		public void sleepMs(long durationMs) {
			throw new UnsupportedOperationException();
		}

	}

}
