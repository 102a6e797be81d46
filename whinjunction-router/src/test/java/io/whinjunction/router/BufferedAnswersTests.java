package io.whinjunction.router;

import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link BufferedAnswers}. */
class BufferedAnswersTests {

	private static final int CALLERS = 300;

	/** What a router process may use of its heap of 96 MB for answers. */
	private static final long MAX_BYTES = 48L << 20;

	private final BufferedAnswers buffered = new BufferedAnswers();

	// Guards against slow callers whose answers together fill the memory.
	@Test
	void theAnswersToManySlowCallersStayWithinTheMemory() {
		for (int caller = 0; caller < CALLERS; caller++) {
			this.buffered.add(this.buffered.limitBytes());
		}

		assertThat(this.buffered.bytes()).isLessThan(MAX_BYTES);
	}

	@Test
	void anAnswerCountsUntilItIsWritten() {
		ChannelPromise writing = new EmbeddedChannel().newPromise();
		this.buffered.addUntil(1000, writing);
		assertThat(this.buffered.bytes()).isEqualTo(1000);

		writing.setSuccess();

		assertThat(this.buffered.bytes()).isZero();
	}

}
