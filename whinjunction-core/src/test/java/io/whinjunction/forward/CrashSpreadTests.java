package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How fast routers learn of a request that crashes upstreams, in simulated time: each
 * tells a few others each period, and messages get lost.
 */
class CrashSpreadTests {

	private static final int SEEDS = 50;

	private static final int ROUTERS = 95;

	private static final int TOLD_EACH_PERIOD = 3;

	private static final long PERIOD_MS = 250;

	private static final double LOST = 0.3;

	/**
	 * Routers have to refuse the request this long after the third crash, in
	 * milliseconds.
	 */
	private static final long CONTACT_MS = 3000;

	/** Other requests that each crash cuts as they begin. */
	private static final int CUT_BESIDE = 20;

	private static final RequestFingerprint CRASHING = new RequestFingerprint(1);

	// Each crash is seen by another router, beside others' requests that it cuts: no
	// router
	// knows of three by itself, and any of them may get the request next.
	@Test
	void allRoutersOfALargeFleetRefuseARequestInTime() {
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			List<CrashingRequests> routers = new ArrayList<>();
			for (int index = 0; index < ROUTERS; index++) {
				routers.add(new CrashingRequests());
			}
			for (int crash = 0; crash < CrashingRequests.MOST_CRASHES; crash++) {
				CrashingRequests sees = routers.get(random.nextInt(ROUTERS));
				sees.crashed(CRASHING, "e-" + crash, false, 0);
				for (int cut = 0; cut < CUT_BESIDE; cut++) {
					sees.crashed(new RequestFingerprint(random.nextLong()), "e-" + crash, false, 0);
				}
			}

			for (long nowMs = 0; nowMs < CONTACT_MS; nowMs += PERIOD_MS) {
				talk(routers, nowMs, random);
			}

			assertThat(routers).as("seed %d", seed)
				.allMatch((router) -> router.refusal(CRASHING, CONTACT_MS, () -> false).isPresent());
			assertThat(routers).as("seed %d", seed).allMatch((router) -> router.refused(CONTACT_MS) == 1);
		}
	}

	private static void talk(List<CrashingRequests> routers, long nowMs, Random random) {
		for (CrashingRequests router : routers) {
			for (int told = 0; told < TOLD_EACH_PERIOD; told++) {
				CrashingRequests other = routers.get(random.nextInt(ROUTERS));
				tell(router, other, nowMs, random);
				tell(other, router, nowMs, random);
			}
		}
	}

	private static void tell(CrashingRequests from, CrashingRequests to, long nowMs, Random random) {
		if (random.nextDouble() >= LOST) {
			from.historiesToSend(nowMs).forEach((history) -> to.receive(history, nowMs));
		}
	}

}
