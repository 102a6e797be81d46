package io.whinjunction.router;

import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;

/**
 * Schedules the stream checks of {@link EngineMonitor} and measures how late this process
 * runs them.
 * <p>
 * Invariants: at most one check is scheduled, the earliest that was requested. No check
 * is scheduled without a request, so that a monitor without streams causes no wake-ups.
 * Confined to the event loop.
 */
final class CheckTimer {

	/**
	 * The interval between two checks while a stream is late or an engine is suspect, in
	 * milliseconds: a tenth of a promised pause.
	 */
	static final long MIN_INTERVAL_MS = 20;

	/**
	 * The maximum interval between two checks while there are streams, in milliseconds.
	 */
	static final long MAX_INTERVAL_MS = 100;

	/**
	 * How long a measured delay of this process counts, in milliseconds: about the
	 * duration of a status query.
	 */
	private static final long DELAY_REMEMBERED_MS = 150;

	private final RouterContext router;

	private final Runnable check;

	/** The scheduled check; {@code null} if none is needed. */
	private ScheduledFuture<?> next;

	private long nextAtMs;

	private long delayMs;

	private long delayedAtMs;

	/**
	 * Creates a timer without a scheduled check.
	 * @param router the clock and the event loop
	 * @param check runs a check, and requests the next one if one is needed
	 */
	CheckTimer(RouterContext router, Runnable check) {
		this.router = router;
		this.check = check;
	}

	/**
	 * Schedules a check unless an earlier one is scheduled.
	 * @param withinMs the delay in milliseconds; clamped to the minimum and maximum
	 * interval
	 */
	void checkWithin(double withinMs) {
		long clampedMs = Math.clamp((long) Math.ceil(withinMs), MIN_INTERVAL_MS, MAX_INTERVAL_MS);
		long atMs = this.router.nowMs() + clampedMs;
		if (this.next != null && this.nextAtMs <= atMs) {
			return;
		}
		if (this.next != null) {
			this.next.cancel(false);
		}
		this.nextAtMs = atMs;
		this.next = this.router.loop().schedule(this::runCheck, clampedMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns how late this process recently ran its checks. Its measurements of others
	 * may be wrong by as much.
	 * @return the largest delay of recent checks, in milliseconds
	 */
	long delayMs() {
		return this.delayMs;
	}

	private void runCheck() {
		measureDelay();
		this.next = null;
		this.check.run();
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
