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

	/** How much later than asked for each wait returns. */
	private long lateMs;

	// A caller sees its draft move to another engine, or break off when none is left.
	// The engine answered after 50 ms. This process got no processor for 400 ms: its
	// thread that reads connections and the one that waits for the limit stood still
	// together. The limit is over when they run again, and the answer lies unread.
	@Test
	void anAnswerThatLiesUnreadBecauseThisProcessStoodStillIsTaken() throws Exception {
		this.answerAtMs = 50;
		this.stalledAtMs = 10;
		this.stallMs = 400;
		assertThat(await()).isTrue();
	}

	// The same, where the process stands still just before the limit is over.
	@Test
	void aStallAtTheEndOfTheLimitIsNotHeldAgainstTheOtherSide() throws Exception {
		this.answerAtMs = 240;
		this.stalledAtMs = 238;
		this.stallMs = 60;
		assertThat(await()).isTrue();
	}

	// A standstill that outlasts every limit says as little about the other side as a
	// short one: what lies there has to be read once before it is judged.
	@Test
	void anAnswerIsTakenHoweverLongThisProcessStoodStill() throws Exception {
		this.answerAtMs = 50;
		this.stalledAtMs = 10;
		this.stallMs = 5000;
		assertThat(await()).isTrue();
	}

	// A frozen engine must be noticed as soon as ever where this process was in time.
	@Test
	void silenceIsNoticedAtTheLimit() throws Exception {
		assertThat(await()).isFalse();
		assertThat(this.nowMs).isEqualTo(LIMIT_MS);
	}

	@Test
	void silenceIsNoticedSoonAfterTheLimitWhereTimersAreALittleLate() throws Exception {
		this.lateMs = 2;
		assertThat(await()).isFalse();
		assertThat(this.nowMs).isLessThan(LIMIT_MS + LIMIT_MS / 10);
	}

	@Test
	void anAnswerInTimeIsTakenAtOnce() throws Exception {
		this.answerAtMs = 30;
		assertThat(await()).isTrue();
		assertThat(this.nowMs).isEqualTo(30);
	}

	// Twenty threads wait for each processor: the step was written late and each look at
	// its answer is late again. An engine that needs its usual time is not silent.
	@Test
	void aProcessThatIsLateAllTheTimeGivesTheOtherSideMoreTime() throws Exception {
		this.lateMs = 30;
		this.answerAtMs = 400;
		assertThat(await()).isTrue();
	}

	// A process that is late all the time must still come to an end.
	@Test
	void aWaitEndsHoweverLateThisProcessIs() throws Exception {
		this.lateMs = 90;
		assertThat(await()).isFalse();
		assertThat(this.nowMs).isLessThanOrEqualTo(StallAwareTimeout.maxWaitMs(LIMIT_MS) + 2 * (this.lateMs + LIMIT_MS / 10));
	}

	private boolean await() throws Exception {
		return new StallAwareTimeout(LIMIT_MS, new Clock()).await(this::within);
	}

	private boolean within(long durationMs) {
		assertThat(durationMs).isPositive();
		long endMs = this.nowMs + durationMs;
		if (this.stalledAtMs < endMs && this.stalledAtMs >= this.nowMs) {
			// What came meanwhile is read after the thread that waits has looked.
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
