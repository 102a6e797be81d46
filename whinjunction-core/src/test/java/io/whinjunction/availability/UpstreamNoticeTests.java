package io.whinjunction.availability;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what an upstream states about itself in the head of an answer.
 */
class UpstreamNoticeTests {

	@Test
	void anAnswerWithoutTheHeadersStatesNothing() {
		assertThat(UpstreamNotice.of(null, null)).isEqualTo(UpstreamNotice.NONE);
	}

	@ParameterizedTest
	@CsvSource({ "3, 3000", "0, 0", "0.25, 250", "' 1.5 ', 1500", "0.0001, 1" })
	void retryAfterIsReadInSecondsAndNotCutShort(String text, long expectedMs) {
		assertThat(UpstreamNotice.of(null, text).retryAfterMs()).isEqualTo(expectedMs);
	}

	@ParameterizedTest
	@CsvSource({ "-1", "soon", "NaN", "Infinity", "''", "'Thu, 03 Dec 2026 10:00:00 GMT'" })
	void anUnreadableRetryAfterRequestsNothing(String text) {
		assertThat(UpstreamNotice.of(null, text).retryAfterMs()).isEqualTo(-1);
	}

	@ParameterizedTest
	@CsvSource({ "1, true", "' 1 ', true", "0, false", "'', false", "yes, false" })
	void aServerLeavesOnlyIfItSaysSo(String text, boolean expected) {
		assertThat(UpstreamNotice.of(text, null).leaving()).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "503, 3000", "200, 0", "429, 0", "500, 0" })
	void onlyAnUpstreamThatTurnsARequestAwayRequestsABackoff(int status, long expectedMs) {
		assertThat(UpstreamNotice.of(null, "3").backoffMs(status)).isEqualTo(expectedMs);
	}

	@Test
	void anAnswerWithoutRetryAfterRequestsNoBackoff() {
		assertThat(UpstreamNotice.of("1", null).backoffMs(503)).isZero();
	}

}
