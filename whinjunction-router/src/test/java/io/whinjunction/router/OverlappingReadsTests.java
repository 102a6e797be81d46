package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How reads overlap that are answered late, out of order or not at all.
 */
class OverlappingReadsTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<Consumer<StoreReply<String>>> open = new ArrayList<>();

	private final List<String> seen = new ArrayList<>();

	private long nowMs = 1000;

	private final OverlappingReads<String> reads = new OverlappingReads<>(this.channel.eventLoop(), () -> this.nowMs,
			this.open::add, new OverlappingReads.Listener<>() {

				@Override
				public void answered(String value, long requestedAtMs) {
					OverlappingReadsTests.this.seen.add(value + "@" + requestedAtMs);
				}

				@Override
				public void late() {
					OverlappingReadsTests.this.seen.add("late");
				}

				@Override
				public void failed(StoreReply<String> reply) {
					OverlappingReadsTests.this.seen.add("failed");
				}

			});

	OverlappingReadsTests() {
		this.channel.freezeTime();
	}

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	@Test
	void anotherReadStartsOnceOneIsLate() {
		this.reads.start();
		this.reads.start();
		assertThat(this.open).hasSize(1);
		assertThat(this.reads.awaited()).isTrue();

		pass(OverlappingReads.LATE_MS);

		assertThat(this.open).hasSize(2);
		assertThat(this.seen).containsExactly("late");
	}

	// Guards against a read that is waited for until its time limit since the two clocks
	// differ.
	@Test
	void anotherReadStartsAlsoIfTheClockOfProofsIsAMillisecondBehind() {
		this.reads.start();
		this.nowMs--;

		pass(OverlappingReads.LATE_MS);

		assertThat(this.open).hasSize(2);
	}

	// Guards against routers that drop the answers of a slow store.
	@Test
	void aLateReplyProvesTheValueAsOfTheStartOfItsRead() {
		this.reads.start();
		pass(1300);

		answer(0, "a");

		assertThat(this.seen).containsExactly("late", "a@1000");
	}

	@Test
	void aLostReplyCostsNoMoreThanTheNextRead() {
		this.reads.start();
		pass(OverlappingReads.LATE_MS);
		pass(4);

		answer(1, "b");

		assertThat(this.seen).containsExactly("late", "b@2000");
		assertThat(this.reads.awaited()).isFalse();
	}

	// Guards against an old value that replaces a newer one.
	@Test
	void aReplyIsDroppedOnceALaterReadIsAnswered() {
		this.reads.start();
		pass(OverlappingReads.LATE_MS);
		answer(1, "newer");

		answer(0, "older");

		assertThat(this.seen).containsExactly("late", "newer@2000");
	}

	@Test
	void theFailureOfALateReadIsNotThatOfTheNewestOne() {
		this.reads.start();
		pass(OverlappingReads.LATE_MS);

		this.open.get(0).accept(new StoreReply.Unavailable<>("lost"));
		assertThat(this.seen).containsExactly("late");
		this.open.get(1).accept(new StoreReply.Unavailable<>("lost"));

		assertThat(this.seen).containsExactly("late", "failed");
	}

	// Guards against calls that pile up while the store is away.
	@Test
	void readsUnderWayAreBounded() {
		this.reads.start();
		for (int seconds = 0; seconds < 20; seconds++) {
			pass(OverlappingReads.LATE_MS);
			this.reads.start();
		}
		assertThat(this.open).hasSize(OverlappingReads.MAX_UNDER_WAY);

		answer(0, "a");
		this.reads.start();

		assertThat(this.open).hasSize(OverlappingReads.MAX_UNDER_WAY + 1);
	}

	private void answer(int read, String value) {
		this.open.get(read).accept(new StoreReply.Found<>(value));
	}

	private void pass(long durationMs) {
		this.nowMs += durationMs;
		this.channel.advanceTimeBy(durationMs, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
