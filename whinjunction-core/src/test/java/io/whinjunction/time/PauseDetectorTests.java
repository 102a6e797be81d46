package io.whinjunction.time;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * To when a signal is dated that the process may have got late.
 */
class PauseDetectorTests {

	private final PauseDetector times = new PauseDetector(0, 1000);

	@Test
	void aSignalThatIsHandledByAProcessThatRunsIsDatedToThatMoment() {
		run(0, 10_000);

		assertThat(this.times.earliestArrivalMs(10_300)).isEqualTo(10_300);
	}

	// A machine is suspended for 5 s, and the signal comes meanwhile. Dated to the moment
	// of waking, requests were served until the platform killed the process with them.
	@Test
	void aSignalThatCameWhileTheProcessDidNotRunIsDatedToWhenItLastRan() {
		run(0, 10_000);

		assertThat(this.times.earliestArrivalMs(15_000)).isEqualTo(10_000);
	}

	// The same, but on waking the overdue note comes first, and the signal a few
	// milliseconds behind it: the gap is still the one in which the signal came.
	@Test
	void aNoteThatComesJustBeforeTheSignalDoesNotHideTheGap() {
		run(0, 10_000);
		this.times.recordActivity(15_000);

		assertThat(this.times.earliestArrivalMs(15_040)).isEqualTo(10_000);
	}

	@Test
	void aGapOfLongAgoSaysNothingOfASignal() {
		run(0, 10_000);
		run(15_000, 20_000);

		assertThat(this.times.earliestArrivalMs(20_400)).isEqualTo(20_400);
	}

	// Notes and signals are of different threads. The one with the signal is held up
	// after
	// its look at the clock; the other notes, and then the process is suspended. Dated to
	// that note, the signal would have come after it was handled.
	@Test
	void noSignalIsDatedLaterThanItWasHandled() {
		run(0, 10_500);
		this.times.recordActivity(15_000);

		assertThat(this.times.earliestArrivalMs(10_300)).isEqualTo(10_300);
	}

	private void run(long fromMs, long untilMs) {
		for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 500) {
			this.times.recordActivity(nowMs);
		}
	}

}
