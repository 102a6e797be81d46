package io.whinjunction.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestRecord}.
 */
class RequestRecordTests {

	// A caller's prompt stands in the log. An engine refuses a step and quotes its input;
	// the request's line names the stages that failed, and held the engine's text.
	@Test
	void theLogLineHoldsTheKindOfAnEndAndNoTextOfAnEngine() {
		assertThat(RequestRecord.endKind("refused: cannot read \"my prompt: hello\"")).isEqualTo("refused");
		assertThat(RequestRecord.endKind("not sent: java.net.ConnectException: refused")).isEqualTo("not sent");
		assertThat(RequestRecord.endKind("status 500")).isEqualTo("status 500");
	}

}
