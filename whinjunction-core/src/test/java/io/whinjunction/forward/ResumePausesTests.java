package io.whinjunction.forward;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The pauses of a stream that waits to be resumed.
 */
class ResumePausesTests {

	// Guards against a stream that uses up the retries of its router at an engine that
	// is full for a moment, and against many that return at the same time.
	@Property(tries = 50)
	void attemptsWithoutProgressBecomeRare(@ForAll long seed) {
		ResumePauses pauses = new ResumePauses(new Random(seed));
		long nowMs = 0;
		int attempts = 0;
		while (nowMs < 2000) {
			nowMs += pauses.nextMs(RetryObstacle.NO_PROGRESS);
			attempts++;
		}

		assertThat(attempts).isBetween(4, 8);
	}

	@Test
	void progressShortensTheNextPause() {
		ResumePauses pauses = new ResumePauses(new Random(1));
		for (int index = 0; index < 5; index++) {
			pauses.nextMs(RetryObstacle.NO_PROGRESS);
		}
		long longMs = pauses.nextMs(RetryObstacle.NO_PROGRESS);

		pauses.reset();

		assertThat(pauses.nextMs(RetryObstacle.NO_PROGRESS)).isLessThan(longMs / 2);
	}

	@Test
	void aStreamThatNoAttemptWasMadeForIsCheckedSooner() {
		ResumePauses pauses = new ResumePauses(new Random(1));

		assertThat(pauses.nextMs(RetryObstacle.NO_BUDGET)).isLessThan(pauses.nextMs(RetryObstacle.NO_PROGRESS));
	}

}
