package io.whinjunction.router;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.whinjunction.time.BootClock;

/**
 * Reads one value of the store, again and again, where a reply may be slow or lost.
 * <p>
 * Another read starts once one has been unanswered for {@link #LATE_MS}, so that a lost
 * reply costs no more than that, while a slow reply is used all the same: each one proves
 * the value as of the start of its read.
 * <p>
 * Invariants: at most {@link #MAX_UNDER_WAY} reads are under way; a reply is dropped if a
 * later read was answered before. Confined to the event loop.
 *
 * @param <T> the value
 */
final class OverlappingReads<T> {

	/** How long a read is unanswered until another one starts, in milliseconds. */
	static final long LATE_MS = 1000;

	static final int MAX_UNDER_WAY = 4;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final EventLoop loop;

	private final BootClock boot;

	private final Consumer<Consumer<StoreReply<T>>> store;

	private final Listener<T> listener;

	private int underWay;

	private long newestAtMs = NEVER_MS;

	/** Whether the newest read is neither answered nor known to be late. */
	private boolean newestInTime;

	/** When the latest read began that was answered. */
	private long answeredAtMs = NEVER_MS;

	/**
	 * Creates an instance without reads.
	 * @param loop the event loop
	 * @param boot a clock that counts suspensions
	 * @param store starts a read, and receives the consumer of its only reply
	 * @param listener is informed of replies
	 */
	OverlappingReads(EventLoop loop, BootClock boot, Consumer<Consumer<StoreReply<T>>> store, Listener<T> listener) {
		this.loop = loop;
		this.boot = boot;
		this.store = store;
		this.listener = listener;
	}

	/** Starts a read, unless one is awaited or too many are under way. */
	void start() {
		if (awaited() || this.underWay >= MAX_UNDER_WAY) {
			return;
		}
		long requestedAtMs = this.boot.nowMs();
		this.underWay++;
		this.newestAtMs = requestedAtMs;
		this.newestInTime = true;
		this.loop.schedule(() -> startAnotherIfLate(requestedAtMs), LATE_MS, TimeUnit.MILLISECONDS);
		this.store.accept((reply) -> replied(reply, requestedAtMs));
	}

	/**
	 * Returns whether a reply may arrive in time.
	 * @return {@code false} if there is no read, or the newest one is late
	 */
	boolean awaited() {
		return this.newestInTime && this.boot.nowMs() - this.newestAtMs < LATE_MS;
	}

	private void startAnotherIfLate(long requestedAtMs) {
		if (this.newestInTime && this.newestAtMs == requestedAtMs) {
			this.newestInTime = false;
			this.listener.late();
			start();
		}
	}

	private void replied(StoreReply<T> reply, long requestedAtMs) {
		this.underWay--;
		boolean newest = requestedAtMs == this.newestAtMs;
		this.newestInTime &= !newest;
		if (requestedAtMs < this.answeredAtMs) {
			return;
		}
		if (reply instanceof StoreReply.Found<T> found) {
			this.answeredAtMs = requestedAtMs;
			this.listener.answered(found.value(), requestedAtMs);
		}
		else if (newest) {
			this.listener.failed(reply);
		}
	}

	/**
	 * Is informed of replies.
	 *
	 * @param <T> the value
	 */
	interface Listener<T> {

		/**
		 * Called with a value.
		 * @param value the value
		 * @param requestedAtMs when its read began, on the clock that counts suspensions
		 */
		void answered(T value, long requestedAtMs);

		/** Called when the newest read has been unanswered for {@link #LATE_MS}. */
		void late();

		/**
		 * Called when the newest read failed.
		 * @param reply why it did
		 */
		void failed(StoreReply<T> reply);

	}

}
