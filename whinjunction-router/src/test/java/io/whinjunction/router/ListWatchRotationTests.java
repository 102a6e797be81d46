package io.whinjunction.router;

import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how many routers watch the store while the list of upstreams changes all the
 * time.
 */
class ListWatchRotationTests {

	private static final long DRAIN_MS = 3000;

	private final ListWatchRotation rotation = new ListWatchRotation(DRAIN_MS, new Random(1));

	// Guards against overload of a store that allows a few thousand calls per second,
	// when each of 390 routers calls it on each change. A router that has just received a
	// change keeps watching only if few others do.
	@Test
	void onlyAFewRoutersOfALargeFleetKeepWatching() {
		int watching = 390;
		for (int change = 0; change < 20; change++) {
			watching = keepWatching(watching);
		}

		assertThat(watching).isBetween(0, 12);
	}

	@Test
	void allRoutersKeepWatchingWhileTheyAreFew() {
		assertThat(keepWatching(3)).isEqualTo(3);
	}

	private int keepWatching(int watching) {
		return (int) IntStream.range(0, watching).filter((index) -> this.rotation.shouldWatch(watching - 1)).count();
	}

	// Guards against requests sent to an upstream that has stopped: all watchers were
	// killed, so that no peer sends updates. The other routers must poll the store while
	// a leaving upstream still serves.
	@Test
	void anUnconfirmedListIsPolledBeforeALeavingUpstreamStops() {
		assertThat(ageAtPollMs(false)).isLessThanOrEqualTo(DRAIN_MS / 2);
		assertThat(ageAtPollMs(true)).isLessThanOrEqualTo(DRAIN_MS / 2);
	}

	private long ageAtPollMs(boolean watches) {
		long ageMs = 0;
		for (long delayMs = this.rotation.pollDelayMs(ageMs, watches); delayMs > 0; delayMs = this.rotation
			.pollDelayMs(ageMs, watches)) {
			ageMs += delayMs;
		}
		return ageMs;
	}

	// The same router confirmed the lists of the whole fleet, which therefore age
	// together. The first routers that poll must confirm the lists of the others before
	// these poll too.
	@Test
	void routersWhoseListsAgeTogetherPollAtDifferentTimes() {
		long[] delaysMs = IntStream.range(0, 95)
			.mapToLong((index) -> this.rotation.pollDelayMs(0, false))
			.sorted()
			.toArray();

		assertThat(delaysMs[94] - delaysMs[0]).isGreaterThan(DRAIN_MS / 20);
	}

}
