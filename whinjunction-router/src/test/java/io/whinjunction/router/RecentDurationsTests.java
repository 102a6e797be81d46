package io.whinjunction.router;

import java.util.Arrays;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of {@link RecentDurations}: the estimated ratio of requests that take longer than
 * a limit.
 */
class RecentDurationsTests {

	@Test
	void withoutRequestsInProgressTheEstimateIsThePlainRatio() {
		RecentDurations durations = withDurations(100, 100);

		assertThat(durations.ratioLongerThan(7_000, new long[0])).isCloseTo(0.3, within(0.001));
	}

	@Test
	void tooFewRequestsAllowNoEstimate() {
		assertThat(withDurations(100, 19).canEstimate(0.05)).isFalse();
		assertThat(withDurations(100, 20).canEstimate(0.05)).isTrue();
		assertThat(withDurations(100, 99).canEstimate(0.01)).isFalse();
		assertThat(withDurations(100, 100).canEstimate(0.01)).isTrue();
	}

	// Guards against a process that stops soon after its start, begins drafts and cuts
	// them: only short requests had ended, so nothing seemed to take longer than four
	// seconds. Forty requests that have been in progress for four seconds correct the
	// estimate.
	@Test
	void requestsInProgressRevealLongOnesSoonAfterTheStart() {
		RecentDurations durations = withDurations(100, 40);
		long[] inProgressMs = new long[40];
		Arrays.fill(inProgressMs, 4_000);

		assertThat(durations.ratioLongerThan(5_000, new long[0])).isZero();
		assertThat(durations.ratioLongerThan(5_000, inProgressMs)).isCloseTo(0.5, within(0.01));
	}

	@Test
	void onlyTheNewestDurationsCount() {
		RecentDurations durations = withDurations(10, RecentDurations.KEPT);
		for (int index = 0; index < RecentDurations.KEPT; index++) {
			durations.add(9_000);
		}

		assertThat(durations.ratioLongerThan(8_000, new long[0])).isEqualTo(1);
	}

	@Property
	void ratioDoesNotGrowWithTheLimit(@ForAll @Size(max = 200) int @IntRange(max = 20_000) [] ended,
			@ForAll @Size(max = 50) int @IntRange(max = 20_000) [] inProgress,
			@ForAll @IntRange(max = 20_000) int limitMs, @ForAll @IntRange(max = 20_000) int moreMs) {
		RecentDurations durations = new RecentDurations();
		for (int tookMs : ended) {
			durations.add(tookMs);
		}
		long[] soFarMs = Arrays.stream(inProgress).asLongStream().toArray();

		double over = durations.ratioLongerThan(limitMs, soFarMs);

		assertThat(over).isBetween(0.0, 1.0);
		assertThat(durations.ratioLongerThan((long) limitMs + moreMs, soFarMs)).isLessThanOrEqualTo(over);
	}

	private static RecentDurations withDurations(long stepMs, int count) {
		RecentDurations durations = new RecentDurations();
		for (int index = 1; index <= count; index++) {
			durations.add(index * stepMs);
		}
		return durations;
	}

}
