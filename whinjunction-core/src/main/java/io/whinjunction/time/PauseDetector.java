package io.whinjunction.time;

/**
 * Detects pauses of this process, to determine the earliest time at which a signal that
 * was handled late may have arrived.
 * <p>
 * Guards against a grace period that is counted too late: a signal that arrives while the
 * process is suspended or gets no CPU time is handled seconds later, while the platform's
 * grace period is running. Counted from the handling, requests would be served until the
 * platform kills the process with all of them. The time of arrival is not known, so the
 * signal is dated to the last time at which the process is known to have run before.
 * After a pause the overdue activity record may precede the handling of the signal, so
 * the last gap is remembered for a while.
 * <p>
 * Invariant: no signal is dated later than it was handled, even if another thread has
 * already recorded a later activity.
 * <p>
 * All times are from one clock, chosen by the owner. Only pauses that this clock counts
 * are detected: with a {@link BootClock} also a suspension of the machine, with a
 * {@link Ticker} only that of the process. Thread-safe.
 */
public final class PauseDetector {

	private final long longestPauseMs;

	private long lastActivityMs;

	private long gapFromMs;

	private long gapUntilMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a detector when the process starts.
	 * @param nowMs the time
	 * @param longestPauseMs the longest pause between two activity records of a running
	 * process, in milliseconds
	 */
	public PauseDetector(long nowMs, long longestPauseMs) {
		this.lastActivityMs = nowMs;
		this.longestPauseMs = longestPauseMs;
	}

	/**
	 * Records that the process is running.
	 * @param nowMs the time
	 */
	public synchronized void recordActivity(long nowMs) {
		if (nowMs - this.lastActivityMs > this.longestPauseMs) {
			this.gapFromMs = this.lastActivityMs;
			this.gapUntilMs = nowMs;
		}
		this.lastActivityMs = nowMs;
	}

	/**
	 * Returns whether the process ran without a pause that is known of.
	 * @param sinceMs the start of the span
	 * @param nowMs the time, which ends the span
	 * @return {@code false} if the last pause reaches into the span
	 */
	public synchronized boolean ranThroughout(long sinceMs, long nowMs) {
		recordActivity(nowMs);
		return this.gapUntilMs <= sinceMs;
	}

	/**
	 * Returns the earliest time at which a signal may have arrived.
	 * @param handledMs when it was handled
	 * @return the last activity before a gap that has just ended, otherwise
	 * {@code handledMs}
	 */
	public synchronized long earliestArrivalMs(long handledMs) {
		recordActivity(handledMs);
		return (handledMs - this.gapUntilMs <= this.longestPauseMs) ? Math.min(this.gapFromMs, handledMs) : handledMs;
	}

}
