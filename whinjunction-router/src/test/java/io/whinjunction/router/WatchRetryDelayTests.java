package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how often routers retry to watch the list of upstreams while the store rejects
 * them.
 */
class WatchRetryDelayTests {

	private static final long DRAIN_MS = 3000;

	@Test
	void aSmallFleetRetriesSoon() {
		assertThat(WatchRetryDelay.ms(1, DRAIN_MS)).isEqualTo(400);
		assertThat(WatchRetryDelay.ms(9, DRAIN_MS)).isEqualTo(400);
	}

	// Without the delay, 88 routers call a store that is down 220 times a second for the
	// list alone, and each rejected call costs resources.
	@Test
	void aLargeFleetCallsLessThanAHundredTimesASecond() {
		assertThat(88 * 1000.0 / WatchRetryDelay.ms(88, DRAIN_MS)).isLessThan(100);
	}

	// A request would be sent to an upstream that has gone: at any size of the fleet, the
	// delay must end while a leaving upstream still serves.
	@Test
	void aLeavingUpstreamIsNoticedWithinHalfOfItsDrainTime() {
		for (int routers = 1; routers < 1000; routers++) {
			assertThat(WatchRetryDelay.ms(routers, DRAIN_MS)).isLessThan(DRAIN_MS / 2);
		}
	}

}
