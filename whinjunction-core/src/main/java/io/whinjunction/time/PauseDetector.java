package io.whinjunction.time;

/**
 * When this process ran, as it noted itself, to date a signal that it got late.
 * <p>
 * The failure it is there for: a signal that comes while the process is suspended or gets
 * no processor is handled seconds later, while the platform's grace goes on. Counted from
 * there, requests are served until the platform kills the process with all of them.
 * Nobody knows when the signal came, so it is dated to the last moment at which the
 * process is known to have run before. On waking, the overdue note may come before the
 * signal is handled; so the last gap is remembered for a while.
 * <p>
 * Invariant: no signal is dated later than it was handled, also where another thread
 * noted a later moment before.
 * <p>
 * All times are of one clock, the owner's; only a pause that this clock counts is seen: a
 * {@link BootClock} counts a suspended machine too, a {@link Ticker} a stopped process
 * only. Safe for all threads.
 */
public final class PauseDetector {

	private final long longestPauseMs;

	private long notedMs;

	private long gapFromMs;

	private long gapUntilMs = Long.MIN_VALUE / 2;

	/**
	 * The process was started.
	 * @param nowMs the time
	 * @param longestPauseMs the longest pause between two notes of a process that runs,
	 * in milliseconds
	 */
	public PauseDetector(long nowMs, long longestPauseMs) {
		this.notedMs = nowMs;
		this.longestPauseMs = longestPauseMs;
	}

	/**
	 * The process runs.
	 * @param nowMs the time
	 */
	public synchronized void recordActivity(long nowMs) {
		if (nowMs - this.notedMs > this.longestPauseMs) {
			this.gapFromMs = this.notedMs;
			this.gapUntilMs = nowMs;
		}
		this.notedMs = nowMs;
	}

	/**
	 * The earliest moment at which a signal may have come.
	 * @param handledMs when it was handled
	 * @return the last moment before a gap that ended just then, else when it was handled
	 */
	public synchronized long earliestArrivalMs(long handledMs) {
		recordActivity(handledMs);
		return (handledMs - this.gapUntilMs <= this.longestPauseMs) ? Math.min(this.gapFromMs, handledMs) : handledMs;
	}

}
