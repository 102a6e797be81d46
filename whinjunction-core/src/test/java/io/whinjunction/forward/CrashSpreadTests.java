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

	private static final int PART_SEEDS = 5;

	private static final int ROUTERS = 95;

	private static final int TARGET_ROUTERS = 390;

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
				exchange(routers, CrashSpreadTests::send, nowMs, random);
			}

			assertThat(routers).as("seed %d", seed)
				.allMatch((router) -> router.refusal(CRASHING, DEADLINE_MS, () -> false).isPresent());
			assertThat(routers).as("seed %d", seed).allMatch((router) -> router.refused(DEADLINE_MS) == 1);
		}
	}

	// Guards against the same for a part of prompts, in the largest fleet.
	@Test
	void allRoutersOfALargeFleetRefuseAPartInTime() {
		PromptPart crashing = new PromptPart(1);
		for (int seed = 0; seed < PART_SEEDS; seed++) {
			Random random = new Random(seed);
			List<CrashingParts> routers = new ArrayList<>();
			for (int index = 0; index < TARGET_ROUTERS; index++) {
				routers.add(new CrashingParts());
			}
			for (int crash = 0; crash < CrashingParts.MAX_CRASHES; crash++) {
				CrashingParts observer = routers.get(random.nextInt(TARGET_ROUTERS));
				CrashingParts.Crash seen = new CrashingParts.Crash("e-" + crash, 200L * crash, 200L * crash + 100,
						true);
				observer.crashed(new RequestFingerprint(crash), List.of(crashing), seen, seen.atMs());
				for (int cut = 0; cut < OTHERS_CUT; cut++) {
					observer.crashed(new RequestFingerprint(random.nextLong()),
							List.of(new PromptPart(random.nextLong())), seen, seen.atMs());
				}
			}

			for (long nowMs = 500; nowMs < 500 + DEADLINE_MS; nowMs += PERIOD_MS) {
				exchange(routers, CrashSpreadTests::send, nowMs, random);
			}

			assertThat(routers).as("seed %d", seed)
				.allMatch((router) -> router.refusedPart(List.of(crashing), 500 + DEADLINE_MS).isPresent());
			assertThat(routers).as("seed %d", seed)
				.allMatch((router) -> router.verdicts(500 + DEADLINE_MS).size() == 1);
		}
	}

	private static <T> void exchange(List<T> routers, Sending<T> sending, long nowMs, Random random) {
		for (T router : routers) {
			for (int sent = 0; sent < PEERS_PER_PERIOD; sent++) {
				T peer = routers.get(random.nextInt(routers.size()));
				if (random.nextDouble() >= LOSS_RATIO) {
					sending.send(router, peer, nowMs);
				}
				if (random.nextDouble() >= LOSS_RATIO) {
					sending.send(peer, router, nowMs);
				}
			}
		}
	}

	private static void send(CrashingRequests from, CrashingRequests to, long nowMs) {
		from.historiesToSend(nowMs).forEach((history) -> to.receive(history, nowMs));
	}

	private static void send(CrashingParts from, CrashingParts to, long nowMs) {
		from.historiesToSend(nowMs).forEach((history) -> to.receive(history, nowMs));
	}

	/** Sends what one router knows to another. */
	private interface Sending<T> {

		void send(T from, T to, long nowMs);

	}

}
