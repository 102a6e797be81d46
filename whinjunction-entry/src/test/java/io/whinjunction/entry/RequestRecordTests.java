package io.whinjunction.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestRecord}.
 */
class RequestRecordTests {

	// Guards against a caller's prompt in the log: an engine refused a step and quoted
	// its input, and the log line of the request contained the text of the engine with
	// the failed stages.
	@Test
	void theLogLineHasTheKindOfAnEndAndNoTextOfAnEngine() {
		assertThat(RequestRecord.endKind("refused: cannot read \"my prompt: hello\"")).isEqualTo("refused");
		assertThat(RequestRecord.endKind("not sent: java.net.ConnectException: refused")).isEqualTo("not sent");
		assertThat(RequestRecord.endKind("status 500")).isEqualTo("status 500");
	}

}
