package io.whinjunction.http;

import io.whinjunction.time.Ticker;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StallAwareTimeout}.
 */
class StallAwareTimeoutTests {

	private static final long LIMIT_MS = 250;

	private long nowMs;

	private long stalledAtMs = Long.MAX_VALUE;

	private long stallMs;

	private long answerAtMs = Long.MAX_VALUE;

	/** How much later than requested each wait returns. */
	private long lateMs;

	// Guards against a draft that fails over to another engine, or breaks off if none is
	// left, although its engine answered after 50 ms: this process got no CPU for 400 ms,
	// so the thread that reads connections and the thread that waits stalled together.
	// When they run again the timeout has expired and the answer is still unread.
	@Test
	void anAnswerLeftUnreadByAStallIsAccepted() throws Exception {
		this.answerAtMs = 50;
		this.stalledAtMs = 10;
		this.stallMs = 400;
		assertThat(await()).isTrue();
	}

	// The same with a stall just before the timeout expires.
	@Test
	void aStallAtTheEndOfTheTimeoutDoesNotCount() throws Exception {
		this.answerAtMs = 240;
		this.stalledAtMs = 238;
		this.stallMs = 60;
		assertThat(await()).isTrue();
	}

	// A stall longer than any timeout proves as little about the other side as a short
	// one: the connection has to be read once before the call is failed.
	@Test
	void anAnswerIsAcceptedAfterAStallOfAnyLength() throws Exception {
		this.answerAtMs = 50;
		this.stalledAtMs = 10;
		this.stallMs = 5000;
		assertThat(await()).isTrue();
	}

	// A hung engine must be detected without delay if this process was not delayed.
	@Test
	void aMissingAnswerIsDetectedAtTheTimeout() throws Exception {
		assertThat(await()).isFalse();
		assertThat(this.nowMs).isEqualTo(LIMIT_MS);
	}

	@Test
	void aMissingAnswerIsDetectedSoonAfterTheTimeoutIfTimersAreSlightlyLate() throws Exception {
		this.lateMs = 2;
		assertThat(await()).isFalse();
		assertThat(this.nowMs).isLessThan(LIMIT_MS + LIMIT_MS / 10);
	}

	@Test
	void anAnswerInTimeIsAcceptedImmediately() throws Exception {
		this.answerAtMs = 30;
		assertThat(await()).isTrue();
		assertThat(this.nowMs).isEqualTo(30);
	}

	// Twenty threads wait for each processor: the step was written late and each poll for
	// its answer is delayed again. An engine that takes its usual time must not be
	// reported as unresponsive.
	@Test
	void aConstantlyDelayedProcessAllowsTheOtherSideMoreTime() throws Exception {
		this.lateMs = 30;
		this.answerAtMs = 400;
		assertThat(await()).isTrue();
	}

	// The wait of a constantly delayed process must still be bounded.
	@Test
	void aWaitIsBoundedHoweverDelayedThisProcessIs() throws Exception {
		this.lateMs = 90;
		assertThat(await()).isFalse();
		assertThat(this.nowMs)
			.isLessThanOrEqualTo(StallAwareTimeout.maxWaitMs(LIMIT_MS) + 2 * (this.lateMs + LIMIT_MS / 10));
	}

	private boolean await() throws Exception {
		return new StallAwareTimeout(LIMIT_MS, new Clock()).await(this::within);
	}

	private boolean within(long durationMs) {
		assertThat(durationMs).isPositive();
		long endMs = this.nowMs + durationMs;
		if (this.stalledAtMs < endMs && this.stalledAtMs >= this.nowMs) {
			// An answer that arrived meanwhile is read after the waiting thread has
			// polled.
			this.nowMs = Math.max(endMs, this.stalledAtMs + this.stallMs);
			this.stalledAtMs = Long.MAX_VALUE;
			return false;
		}
		if (this.answerAtMs <= endMs) {
			this.nowMs = Math.max(this.nowMs, this.answerAtMs);
			return true;
		}
		this.nowMs = endMs + this.lateMs;
		return false;
	}

	private final class Clock implements Ticker {

		@Override
		public long nowMs() {
			return StallAwareTimeoutTests.this.nowMs;
		}

		@Override
		public void sleepMs(long durationMs) {
			throw new UnsupportedOperationException();
		}

	}

}
