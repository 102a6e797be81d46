package io.whinjunction.availability;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the backoffs that upstreams request.
 */
class RequestedBackoffsTests {

	private static final String UPSTREAM = "e-1";

	private final RequestedBackoffs backoffs = new RequestedBackoffs();

	@Test
	void anUpstreamThatRequestedNothingMayBeCalled() {
		assertThat(this.backoffs.active(UPSTREAM, 0)).isFalse();
		assertThat(this.backoffs.request(UPSTREAM, 0, 0)).isFalse();
		assertThat(this.backoffs.active(UPSTREAM, 0)).isFalse();
	}

	@Test
	void aBackoffEndsWhenItsTimeIsOver() {
		assertThat(this.backoffs.request(UPSTREAM, 3000, 100)).isTrue();

		assertThat(this.backoffs.remainingMs(UPSTREAM, 3099)).isEqualTo(1);
		assertThat(this.backoffs.active(UPSTREAM, 3100)).isFalse();
	}

	// Guards against a long backoff that the answer to an earlier request shortens.
	@Test
	void aShorterRequestDoesNotEndALongerBackoff() {
		this.backoffs.request(UPSTREAM, 3000, 0);

		assertThat(this.backoffs.request(UPSTREAM, 100, 200)).isFalse();
		assertThat(this.backoffs.remainingMs(UPSTREAM, 200)).isEqualTo(2800);
	}

	@Test
	void aBackoffBeyondTheRangeOfTheClockDoesNotEnd() {
		this.backoffs.request(UPSTREAM, Long.MAX_VALUE, 5000);

		assertThat(this.backoffs.active(UPSTREAM, Long.MAX_VALUE - 1)).isTrue();
	}

	@Test
	void backoffsThatAreOverAreNotKept() {
		this.backoffs.request(UPSTREAM, 10, 0);
		this.backoffs.request("e-2", 10, 100);

		assertThat(this.backoffs.count()).isEqualTo(1);
		this.backoffs.removeExpired(110);
		assertThat(this.backoffs.count()).isZero();
	}

	@Property(seed = "42")
	void eachRequestIsKeptToItsEndWhateverOthersFollow(
			@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 4_000_000) Integer> requests) {
		RequestedBackoffs tracked = new RequestedBackoffs();
		Map<String, Long> expectedEndMs = new HashMap<>();
		long nowMs = 0;
		for (int request : requests) {
			nowMs += request % 500;
			String upstream = "e-" + request % 3;
			long durationMs = request / 1000;
			tracked.request(upstream, durationMs, nowMs);
			expectedEndMs.merge(upstream, nowMs + durationMs, Math::max);
			for (Map.Entry<String, Long> expected : expectedEndMs.entrySet()) {
				assertThat(tracked.remainingMs(expected.getKey(), nowMs))
					.isEqualTo(Math.max(0, expected.getValue() - nowMs));
			}
		}
	}

}
