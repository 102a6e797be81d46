package io.whinjunction.time;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PauseDetector}.
 */
class PauseDetectorTests {

	private final PauseDetector detector = new PauseDetector(0, 1000);

	@Test
	void aSignalHandledByARunningProcessIsDatedToItsHandling() {
		run(0, 10_000);

		assertThat(this.detector.earliestArrivalMs(10_300)).isEqualTo(10_300);
	}

	// A machine is suspended for 5 s, and the signal arrives in the meantime. When it was
	// dated to the wake-up, requests were served until the platform killed the process
	// with them.
	@Test
	void aSignalThatArrivedDuringAPauseIsDatedToTheLastActivity() {
		run(0, 10_000);

		assertThat(this.detector.earliestArrivalMs(15_000)).isEqualTo(10_000);
	}

	// As above, but after the wake-up the overdue activity record precedes the signal by
	// 40 milliseconds: the signal still arrived during the gap.
	@Test
	void anActivityRecordJustBeforeTheSignalDoesNotHideTheGap() {
		run(0, 10_000);
		this.detector.recordActivity(15_000);

		assertThat(this.detector.earliestArrivalMs(15_040)).isEqualTo(10_000);
	}

	@Test
	void anOldGapDoesNotAffectASignal() {
		run(0, 10_000);
		run(15_000, 20_000);

		assertThat(this.detector.earliestArrivalMs(20_400)).isEqualTo(20_400);
	}

	// Activity is recorded and signals are handled by different threads. The thread with
	// the signal is delayed after it has read the clock, the other thread records
	// activity, and then the process is suspended. Dated to that record, the signal would
	// have arrived after it was handled.
	@Test
	void noSignalIsDatedLaterThanItWasHandled() {
		run(0, 10_500);
		this.detector.recordActivity(15_000);

		assertThat(this.detector.earliestArrivalMs(10_300)).isEqualTo(10_300);
	}

	private void run(long fromMs, long untilMs) {
		for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 500) {
			this.detector.recordActivity(nowMs);
		}
	}

}
