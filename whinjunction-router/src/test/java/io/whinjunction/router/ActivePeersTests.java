package io.whinjunction.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the sums that {@link ActivePeers} maintains with a fresh addition of all
 * statuses.
 */
class ActivePeersTests {

	private static final long SILENT_MS = 1500;

	private final ActivePeers peers = new ActivePeers(SILENT_MS);

	private final Map<String, PeerStatus> last = new HashMap<>();

	private final Map<String, Long> receivedAtMs = new HashMap<>();

	// 95 peers report on 200 engines in random order; some fall silent and come back. At
	// any time the sums must equal those of the last statuses of the active peers.
	@Test
	void sumsEqualThoseOfTheLastStatusesOfActivePeers() {
		Random random = new Random(7);
		for (long nowMs = 0; nowMs < 20_000; nowMs += random.nextInt(60)) {
			receive(random, nowMs);
			String engine = "e" + random.nextInt(200);
			assertThat(this.peers.tokenLayersAt(engine, nowMs)).isEqualTo(tokenLayers(engine, nowMs));
			assertThat(this.peers.slowdownOf(engine, nowMs)).isEqualTo(slowdown(engine, nowMs));
			assertThat(this.peers.count(nowMs)).isEqualTo(active(nowMs).size());
			assertThat(this.peers.listWatchers(nowMs))
				.isEqualTo((int) active(nowMs).stream().filter((status) -> status.list().watching()).count());
		}
		assertThat(this.peers.tokenLayersAt("e1", 60_000)).isZero();
		assertThat(this.peers.addresses(60_000)).isEmpty();
	}

	@Test
	void leavingPeersAreNotAdvertised() {
		this.peers.update(status("10.0.0.1:1", Map.of(), Map.of(), true, false), 0);
		this.peers.update(status("10.0.0.2:1", Map.of(), Map.of(), false, false), 1);
		this.peers.update(status("10.0.0.3:1", Map.of(), Map.of(), false, false), 2);

		assertThat(this.peers.newestNotLeaving(8, 3)).containsExactly("10.0.0.3:1", "10.0.0.2:1");
		assertThat(this.peers.newestNotLeaving(1, 3)).containsExactly("10.0.0.3:1");
	}

	private void receive(Random random, long nowMs) {
		Map<String, Long> tokenLayers = new HashMap<>();
		for (int index = 0; index < 10; index++) {
			tokenLayers.put("e" + random.nextInt(200), (long) random.nextInt(1000));
		}
		Map<String, Double> slowdowns = (random.nextInt(10) == 0) ? Map.of("e" + random.nextInt(200), 2.5) : Map.of();
		String address = "10.0.0." + random.nextInt(95) + ":1";
		PeerStatus status = status(address, tokenLayers, slowdowns, false, random.nextBoolean());
		this.peers.update(status, nowMs);
		this.last.put(address, status);
		this.receivedAtMs.put(address, nowMs);
	}

	private List<PeerStatus> active(long nowMs) {
		return this.last.values()
			.stream()
			.filter((status) -> nowMs - this.receivedAtMs.get(status.address()) < SILENT_MS)
			.toList();
	}

	private long tokenLayers(String engine, long nowMs) {
		return active(nowMs).stream()
			.mapToLong((status) -> status.tokenLayersByEngine().getOrDefault(engine, 0L))
			.sum();
	}

	private double slowdown(String engine, long nowMs) {
		return active(nowMs).stream()
			.mapToDouble((status) -> status.paceByEngine().getOrDefault(engine, 1.0))
			.max()
			.orElse(1);
	}

	private static PeerStatus status(String address, Map<String, Long> tokenLayers, Map<String, Double> slowdowns,
			boolean leaving, boolean watching) {
		return new PeerStatus("n", address, "a", 1, false, 4, 0, List.of(), tokenLayers, List.of(), leaving, slowdowns,
				false, -1, new UpstreamListState(Versions.v(1), 1, 0, watching), 0, -1, PeerReach.NONE);
	}

}
