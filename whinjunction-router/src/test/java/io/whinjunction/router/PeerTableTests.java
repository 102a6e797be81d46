package io.whinjunction.router;

import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What routers learn from each other.
 */
class PeerTableTests {

	private final PeerTable table = new PeerTable("10.0.0.1:1", new Random(1));

	// A key that was taken away works at a router that the store does not answer: it took
	// a
	// peer's proof for as young as the answer. What the peer says is at least as old as
	// the
	// question, and older by the age of the peer's own proof.
	@Test
	void aProofIsDatedByTheQuestionAndItsAgeThere() {
		long question = this.table.ask(10_000);

		assertThat(this.table.provedAtMs(status("10.0.0.2:1", question, true, 700))).isEqualTo(9_300);
	}

	@Test
	void whatWasNotAskedForProvesNothing() {
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", 99, true, 0))).isEqualTo(Long.MIN_VALUE);
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", this.table.ask(5), false, 0))).isEqualTo(Long.MIN_VALUE);
		assertThat(this.table.provedAtMs(status("10.0.0.2:1", this.table.ask(5), true, -1))).isEqualTo(Long.MIN_VALUE);
	}

	@Test
	void memoryOfRequestsIsSummedOverRoutersThatWereHeardLately() {
		this.table.heard(status("10.0.0.2:1", 1, true, 0), 0);
		this.table.heard(status("10.0.0.3:1", 1, true, 0), 1000);

		assertThat(this.table.tokenLayersAt("e1", 1000)).isEqualTo(200);
		assertThat(this.table.tokenLayersAt("e1", PeerTable.SILENT_MS + 500)).isEqualTo(100);
		assertThat(this.table.tokenLayersAt("e2", 1000)).isZero();
	}

	// Repeats of all routers go over their bound: one that is cut off sees no others and
	// takes
	// all of the slack for itself. Routers that are silent still count.
	@Test
	void aRouterThatHearsNobodyStillSharesWithThoseItKnows() {
		this.table.addresses(List.of("10.0.0.2:1", "10.0.0.3:1", "10.0.0.1:1"));

		assertThat(this.table.sharers(0)).isEqualTo(3);
		assertThat(this.table.alive(0)).isEmpty();
	}

	@Test
	void aRouterThatLeavesIsNoLeader() {
		this.table.heard(status("10.0.0.2:1", 1, true, 0), 0);

		assertThat(this.table.hasLeader(0)).isTrue();
		assertThat(this.table.hasLeader(PeerTable.SILENT_MS)).isFalse();
	}

	@Test
	void aStatusSurvivesItsCodec() {
		PeerStatus status = status("10.0.0.2:1", 7, true, 5);
		PeerCodec codec = new PeerCodec();

		assertThat(codec.decode(codec.encode(status))).contains(status);
		assertThat(codec.decode(new byte[] { 1, 2, 3 })).isEmpty();
	}

	private static PeerStatus status(String address, long sequence, boolean answer, long proofAgeMs) {
		return new PeerStatus("n", address, "a", sequence, answer, 4, proofAgeMs, List.of("10.1.1.1:80"),
				Map.of("e1", 100L), List.of("10.0.0.9:1"), false, Map.of("e1", 3.0), true);
	}

}
