package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The times of the steps of a stop.
 */
class StopScheduleTests {

	private static final long GRACE_MS = 8_000;

	@Test
	void theProcessExitsBeforeItsGracePeriodEnds() {
		StopSchedule schedule = new StopSchedule(0, GRACE_MS);

		assertThat(schedule.over(7_400)).isFalse();
		assertThat(schedule.over(7_500)).isTrue();
	}

}
