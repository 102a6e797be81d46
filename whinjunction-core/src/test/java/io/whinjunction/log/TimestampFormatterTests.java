package io.whinjunction.log;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TimestampFormatter}.
 */
class TimestampFormatterTests {

	private final TimestampFormatter formatter = new TimestampFormatter();

	// The system clock may jump back; the cached text of one second must not be written
	// for another.
	@Test
	void timestampsAreCorrectToTheMillisecondWhenTheClockJumps() {
		Random random = new Random(3);
		Instant instant = Instant.parse("2030-02-03T04:05:06.007Z");
		for (int line = 0; line < 1000; line++) {
			assertThat(Instant.parse(text(instant))).isEqualTo(instant.truncatedTo(ChronoUnit.MILLIS));
			instant = instant.plusNanos(random.nextLong(-2_000_000_000L, 2_000_000_000L));
		}
	}

	@Test
	void aFullSecondIsWrittenWithMilliseconds() {
		assertThat(text(Instant.parse("2030-02-03T04:05:00Z"))).isEqualTo("2030-02-03T04:05:00.000Z");
	}

	private String text(Instant instant) {
		StringBuilder line = new StringBuilder();
		this.formatter.append(line, instant);
		return line.toString();
	}

}
