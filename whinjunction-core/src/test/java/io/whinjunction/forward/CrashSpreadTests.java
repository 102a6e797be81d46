package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How fast routers learn of a request that crashes upstreams, in simulated time: each
 * router exchanges messages with 3 random peers per period, and messages get lost.
 */
class CrashSpreadTests {

	private static final int SEEDS = 50;

	private static final int ROUTERS = 95;

	private static final int PEERS_PER_PERIOD = 3;

	private static final long PERIOD_MS = 250;

	private static final double LOSS_RATIO = 0.3;

	/**
	 * All routers have to refuse the request this long after the third crash, in
	 * milliseconds.
	 */
	private static final long DEADLINE_MS = 3000;

	/** Number of other requests that each crash cuts as they start. */
	private static final int OTHERS_CUT = 20;

	private static final RequestFingerprint CRASHING = new RequestFingerprint(1);

	// Guards against a request that no router refuses: each crash is observed by a
	// different router, along with other requests that it cuts, so no router observes
	// three crashes itself, and any router may get the request next.
	@Test
	void allRoutersOfALargeFleetRefuseARequestInTime() {
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			List<CrashingRequests> routers = new ArrayList<>();
			for (int index = 0; index < ROUTERS; index++) {
				routers.add(new CrashingRequests());
			}
			for (int crash = 0; crash < CrashingRequests.MAX_CRASHES; crash++) {
				CrashingRequests observer = routers.get(random.nextInt(ROUTERS));
				observer.crashed(CRASHING, "e-" + crash, false, 0);
				for (int cut = 0; cut < OTHERS_CUT; cut++) {
					observer.crashed(new RequestFingerprint(random.nextLong()), "e-" + crash, false, 0);
				}
			}

			for (long nowMs = 0; nowMs < DEADLINE_MS; nowMs += PERIOD_MS) {
				exchange(routers, nowMs, random);
			}

			assertThat(routers).as("seed %d", seed)
				.allMatch((router) -> router.refusal(CRASHING, DEADLINE_MS, () -> false).isPresent());
			assertThat(routers).as("seed %d", seed).allMatch((router) -> router.refused(DEADLINE_MS) == 1);
		}
	}

	private static void exchange(List<CrashingRequests> routers, long nowMs, Random random) {
		for (CrashingRequests router : routers) {
			for (int sent = 0; sent < PEERS_PER_PERIOD; sent++) {
				CrashingRequests peer = routers.get(random.nextInt(ROUTERS));
				send(router, peer, nowMs, random);
				send(peer, router, nowMs, random);
			}
		}
	}

	private static void send(CrashingRequests from, CrashingRequests to, long nowMs, Random random) {
		if (random.nextDouble() >= LOSS_RATIO) {
			from.historiesToSend(nowMs).forEach((history) -> to.receive(history, nowMs));
		}
	}

}
