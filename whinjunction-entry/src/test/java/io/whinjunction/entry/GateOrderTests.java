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
 * A tightened rule that comes into force while {@link Gate} looks.
 */
class GateOrderTests {

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final Freshness freshness = new Freshness(1000);

	private long nowMs;

	private Runnable whenAsked = () -> {
	};

	// A step is sent where its data must not be any more. The proof of the old revision
	// has run out. The gate has looked up the old permission when the next proof comes,
	// which is one of a tightened revision, and takes that as a proof of the old one.
	@Test
	void aProofOfATightenedRuleIsNoProofOfTheOldPermission() {
		Gate gate = new Gate(this.configuration, this.freshness, "poa-a", new Clock());
		this.configuration.offer(manifest(1, "poa"));
		this.freshness.confirmed(0);
		assertThat(gate.placement("agencia")).isNotNull();
		this.nowMs = 1500;
		this.whenAsked = () -> {
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

	private final class Clock implements Ticker {

		@Override
		public long nowMs() {
			GateOrderTests.this.whenAsked.run();
			return GateOrderTests.this.nowMs;
		}

		@Override
		public void sleepMs(long durationMs) {
			throw new UnsupportedOperationException();
		}

	}

}
