package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When a process that was told to stop does what.
 */
class StopScheduleTests {

	private static final long GRACE_MS = 8_000;

	@Test
	void theProcessEndsBeforeItsGraceDoes() {
		StopSchedule schedule = new StopSchedule(0, GRACE_MS);

		assertThat(schedule.over(7_400)).isFalse();
		assertThat(schedule.over(7_500)).isTrue();
	}

}
