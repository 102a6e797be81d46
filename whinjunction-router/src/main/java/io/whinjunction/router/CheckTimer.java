package io.whinjunction.router;

import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;

/**
 * When {@link EngineMonitor} looks at its streams next, and how late this process has been
 * with it.
 * <p>
 * Invariants: at most one look is to come, the earliest that was asked for; none comes of
 * itself, so that a watch without streams wakes nobody. Confined to the event loop.
 */
final class CheckTimer {

	/**
	 * The pause between two looks while a stream is late or an engine suspect, in
	 * milliseconds: a tenth of a promised pause.
	 */
	static final long SHORTEST_MS = 20;

	/** The longest pause between two looks, in milliseconds, while there are streams. */
	static final long LONGEST_MS = 100;

	/** Delays of this process count for this long, in milliseconds: a question's time. */
	private static final long DELAY_REMEMBERED_MS = 150;

	private final RouterContext router;

	private final Runnable look;

	/** The look to come; {@code null} while there is nothing to look at. */
	private ScheduledFuture<?> next;

	private long nextAtMs;

	private long delayMs;

	private long delayedAtMs;

	/**
	 * A timer without a look to come.
	 * @param router the clock and the event loop
	 * @param look looks, and asks for the next look where there has to be one
	 */
	CheckTimer(RouterContext router, Runnable look) {
		this.router = router;
		this.look = look;
	}

	/**
	 * Has a look come, unless one comes sooner.
	 * @param pauseMs after how long, in milliseconds; brought between the shortest and
	 * the longest pause
	 */
	void checkWithin(double pauseMs) {
		long waitMs = Math.clamp((long) Math.ceil(pauseMs), SHORTEST_MS, LONGEST_MS);
		long atMs = this.router.nowMs() + waitMs;
		if (this.next != null && this.nextAtMs <= atMs) {
			return;
		}
		if (this.next != null) {
			this.next.cancel(false);
		}
		this.nextAtMs = atMs;
		this.next = this.router.loop().schedule(this::begin, waitMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * How late this process has been lately: what it measures of others is off by as
	 * much.
	 * @return the largest delay of the last looks, in milliseconds
	 */
	long delayMs() {
		return this.delayMs;
	}

	private void begin() {
		measureDelay();
		this.next = null;
		this.look.run();
	}

	private void measureDelay() {
		long nowMs = this.router.nowMs();
		long lateMs = nowMs - this.nextAtMs;
		if (lateMs >= this.delayMs || nowMs - this.delayedAtMs > DELAY_REMEMBERED_MS) {
			this.delayMs = Math.max(0, lateMs);
			this.delayedAtMs = nowMs;
		}
	}

}
