package io.whinjunction.router;

import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How many routers wait at the store while the list of upstreams changes all the time.
 */
class ListWatchRotationTests {

	private static final long DRAIN_MS = 3000;

	private final ListWatchRotation rota = new ListWatchRotation(DRAIN_MS, new Random(1));

	// A store that allows a few thousand calls a second is asked by each of 390 routers
	// with each change. Whoever has just heard of one goes on only if few others do.
	@Test
	void aFewOfALargeFleetGoOnAndTheRestIsTold() {
		int watching = 390;
		for (int change = 0; change < 20; change++) {
			watching = goingOn(watching);
		}

		assertThat(watching).isBetween(0, 12);
	}

	@Test
	void whileFewWaitAllOfThemGoOn() {
		assertThat(goingOn(3)).isEqualTo(3);
	}

	private int goingOn(int watching) {
		return (int) IntStream.range(0, watching).filter((index) -> this.rota.shouldWatch(watching - 1)).count();
	}

	// A caller's request is sent to an upstream that has gone: whoever waited at the
	// store was killed, and nobody tells the others. They look for themselves while a
	// leaving upstream still serves.
	@Test
	void aListThatNobodyConfirmsIsLookedAfterBeforeALeavingUpstreamEnds() {
		assertThat(ageAtLookMs(false)).isLessThanOrEqualTo(DRAIN_MS / 2);
		assertThat(ageAtLookMs(true)).isLessThanOrEqualTo(DRAIN_MS / 2);
	}

	private long ageAtLookMs(boolean waits) {
		long ageMs = 0;
		for (long pauseMs = this.rota.pollDelayMs(ageMs, waits); pauseMs > 0; pauseMs = this.rota.pollDelayMs(ageMs, waits)) {
			ageMs += pauseMs;
		}
		return ageMs;
	}

	// All routers of a fleet were told last by the same one: their lists grow old
	// together, and the first ones that look tell the others before those look too.
	@Test
	void routersWhoseListsGrowOldTogetherDoNotLookTogether() {
		long[] pausesMs = IntStream.range(0, 95).mapToLong((index) -> this.rota.pollDelayMs(0, false)).sorted().toArray();

		assertThat(pausesMs[94] - pausesMs[0]).isGreaterThan(DRAIN_MS / 20);
	}

}
