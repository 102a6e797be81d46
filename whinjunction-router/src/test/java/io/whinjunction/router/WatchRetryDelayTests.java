package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How often routers try to watch the list of upstreams while the store refuses them.
 */
class WatchRetryDelayTests {

	private static final long DRAIN_MS = 3000;

	@Test
	void aSmallFleetTriesAgainSoon() {
		assertThat(WatchRetryDelay.ms(1, DRAIN_MS)).isEqualTo(400);
		assertThat(WatchRetryDelay.ms(9, DRAIN_MS)).isEqualTo(400);
	}

	// A store that is down is asked 220 times a second by 88 routers for the list alone,
	// and each refused call has its price.
	@Test
	void aLargeFleetCallsLessThanAHundredTimesASecond() {
		assertThat(88 * 1000.0 / WatchRetryDelay.ms(88, DRAIN_MS)).isLessThan(100);
	}

	// A caller's request is sent to an upstream that has gone: the pause must end while a
	// leaving upstream still serves, at any size.
	@Test
	void aLeavingUpstreamIsNoticedBeforeHalfOfItsTimeIsOver() {
		for (int routers = 1; routers < 1000; routers++) {
			assertThat(WatchRetryDelay.ms(routers, DRAIN_MS)).isLessThan(DRAIN_MS / 2);
		}
	}

}
