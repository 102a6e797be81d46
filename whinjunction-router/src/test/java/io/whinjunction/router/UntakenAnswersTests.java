package io.whinjunction.router;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.memory.MemoryShare;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link UntakenAnswers}. */
class UntakenAnswersTests {

	private static final int CHUNK_BYTES = 1000;

	private final MemoryBudget budget = new MemoryBudget(24 << 20, (state, bytes, used, limit) -> {
	});

	private final MemoryShare share = this.budget.open(new Idle());

	private final BufferedAnswers buffered = new BufferedAnswers(this.budget);

	private final SlowChannel channel = new SlowChannel();

	private final UntakenAnswers untaken = new UntakenAnswers(this.channel, this.buffered, this.share);

	// Guards against answers in small chunks, each of which counts as nothing.
	@Test
	void smallChunksCountUntilTheyAreWritten() {
		write();
		write();

		assertThat(this.untaken.chargedBytes()).isGreaterThanOrEqualTo(2 * CHUNK_BYTES);
		assertThat(this.share.bytes()).isEqualTo(this.untaken.chargedBytes());
		assertThat(this.buffered.bytes()).isEqualTo(this.untaken.chargedBytes());

		this.channel.taking = true;
		this.channel.flush();
		this.channel.runPendingTasks();

		assertThat(this.untaken.chargedBytes()).isZero();
		assertThat(this.share.bytes()).isZero();
		assertThat(this.buffered.bytes()).isZero();
	}

	@Test
	void whatAClosedConnectionHeldDoesNotCount() {
		write();
		this.channel.close();
		this.channel.runPendingTasks();

		assertThat(this.share.bytes()).isZero();
		assertThat(this.buffered.bytes()).isZero();
	}

	@Test
	void whatIsWrittenAtOnceDoesNotCount() {
		this.channel.taking = true;
		write();

		assertThat(this.untaken.chargedBytes()).isZero();
	}

	private void write() {
		this.untaken.wrote(this.channel.write(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES])));
		this.channel.flush();
		this.untaken.flushed();
	}

	/** A connection whose caller reads nothing at first. */
	private static final class SlowChannel extends EmbeddedChannel {

		private boolean taking;

		@Override
		protected void doWrite(ChannelOutboundBuffer in) throws Exception {
			if (this.taking) {
				super.doWrite(in);
			}
		}

	}

	/** A holder without a request. */
	private record Idle() implements MemoryBudget.Holder {

		@Override
		public State state() {
			return State.UNSENT;
		}

		@Override
		public void shed() {
			throw new IllegalStateException("nothing is shed below the limit");
		}

	}

}
