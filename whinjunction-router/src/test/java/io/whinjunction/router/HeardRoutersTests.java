package io.whinjunction.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The sums of what routers say of engines, against adding up at each rating.
 */
class HeardRoutersTests {

	private static final long SILENT_MS = 1500;

	private final HeardRouters heard = new HeardRouters(SILENT_MS);

	private final Map<String, PeerStatus> last = new HashMap<>();

	private final Map<String, Long> heardAtMs = new HashMap<>();

	// Ninety-five routers tell of two hundred engines in any order, some fall silent and
	// come back: whatever happened before, the sums are those of the last words of the
	// routers that were heard lately.
	@Test
	void sumsAreThoseOfTheLastWordsOfRoutersThatWereHeardLately() {
		Random random = new Random(7);
		for (long nowMs = 0; nowMs < 20_000; nowMs += random.nextInt(60)) {
			hear(random, nowMs);
			String engine = "e" + random.nextInt(200);
			assertThat(this.heard.tokenLayersAt(engine, nowMs)).isEqualTo(tokenLayers(engine, nowMs));
			assertThat(this.heard.paceOf(engine, nowMs)).isEqualTo(pace(engine, nowMs));
			assertThat(this.heard.count(nowMs)).isEqualTo(alive(nowMs).size());
			assertThat(this.heard.listWatchers(nowMs))
				.isEqualTo((int) alive(nowMs).stream().filter((status) -> status.list().watching()).count());
		}
		assertThat(this.heard.tokenLayersAt("e1", 60_000)).isZero();
		assertThat(this.heard.addresses(60_000)).isEmpty();
	}

	@Test
	void routersThatLeaveAreNotToldToOthers() {
		this.heard.heard(status("10.0.0.1:1", Map.of(), Map.of(), true, false), 0);
		this.heard.heard(status("10.0.0.2:1", Map.of(), Map.of(), false, false), 1);
		this.heard.heard(status("10.0.0.3:1", Map.of(), Map.of(), false, false), 2);

		assertThat(this.heard.newestStaying(8, 3)).containsExactly("10.0.0.3:1", "10.0.0.2:1");
		assertThat(this.heard.newestStaying(1, 3)).containsExactly("10.0.0.3:1");
	}

	private void hear(Random random, long nowMs) {
		Map<String, Long> tokenLayers = new HashMap<>();
		for (int index = 0; index < 10; index++) {
			tokenLayers.put("e" + random.nextInt(200), (long) random.nextInt(1000));
		}
		Map<String, Double> paces = (random.nextInt(10) == 0) ? Map.of("e" + random.nextInt(200), 2.5) : Map.of();
		String address = "10.0.0." + random.nextInt(95) + ":1";
		PeerStatus status = status(address, tokenLayers, paces, false, random.nextBoolean());
		this.heard.heard(status, nowMs);
		this.last.put(address, status);
		this.heardAtMs.put(address, nowMs);
	}

	private List<PeerStatus> alive(long nowMs) {
		return this.last.values()
			.stream()
			.filter((status) -> nowMs - this.heardAtMs.get(status.address()) < SILENT_MS)
			.toList();
	}

	private long tokenLayers(String engine, long nowMs) {
		return alive(nowMs).stream().mapToLong((status) -> status.tokenLayersByEngine().getOrDefault(engine, 0L)).sum();
	}

	private double pace(String engine, long nowMs) {
		return alive(nowMs).stream()
			.mapToDouble((status) -> status.paceByEngine().getOrDefault(engine, 1.0))
			.max()
			.orElse(1);
	}

	private static PeerStatus status(String address, Map<String, Long> tokenLayers, Map<String, Double> paces,
			boolean leaving, boolean watching) {
		return new PeerStatus("n", address, "a", 1, false, 4, 0, List.of(), tokenLayers, List.of(), leaving, paces,
				false, -1, new UpstreamListState(Versions.v(1), 1, 0, watching), 0, -1);
	}

}
