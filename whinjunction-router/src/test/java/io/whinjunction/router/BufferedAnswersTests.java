package io.whinjunction.router;

import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.memory.MemoryShare;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link BufferedAnswers}. */
class BufferedAnswersTests {

	private static final int CALLERS = 300;

	/** What a router process may use of its heap of 96 MB for answers. */
	private static final long MAX_BYTES = 48L << 20;

	private final MemoryBudget budget = new MemoryBudget(24 << 20, (state, bytes, used, limit) -> {
	});

	private final MemoryShare share = this.budget.open(new Running());

	private final BufferedAnswers buffered = new BufferedAnswers(this.budget);

	// Guards against slow callers whose answers together fill the memory.
	@Test
	void theAnswersToManySlowCallersStayWithinTheMemory() {
		for (int caller = 0; caller < CALLERS; caller++) {
			this.buffered.add(this.share, this.buffered.limitBytes());
		}

		assertThat(this.buffered.bytes()).isLessThan(MAX_BYTES);
	}

	/** A holder whose request an upstream has. */
	private record Running() implements MemoryBudget.Holder {

		@Override
		public State state() {
			return State.SENT;
		}

		@Override
		public void shed() {
			throw new IllegalStateException("a request that was sent is not shed");
		}

	}

}
