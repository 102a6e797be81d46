package io.whinjunction.entry;

import io.whinjunction.time.Ticker;

/**
 * The machine's clock, but suspensions are leaps, and the thread that stops an entry does
 * not sleep: what it wanted to sleep is kept, and its time has passed.
 * <p>
 * A leap that is to end as a signal is handled comes to pass with the first look at the
 * clock of the thread that handles it, so that no held up thread comes between the two.
 * Safe for all threads.
 */
final class SuspendableTicker implements Ticker {

	private final Ticker machine = Ticker.system();

	private long leaptMs;

	private long pendingMs;

	private Thread stops;

	private long sleptMs;

	/** Looks at the clock by the thread that notes that the entry runs. */
	private int looks;

	/**
	 * The process is suspended now and goes on.
	 * @param durationMs how long
	 */
	synchronized void suspend(long durationMs) {
		this.leaptMs += durationMs;
		this.looks = 0;
	}

	/**
	 * The calling thread stops the entry now, by a signal that came in a suspension.
	 * @param durationMs how long the suspension was
	 */
	synchronized void suspendBeforeSignal(long durationMs) {
		this.stops = Thread.currentThread();
		this.pendingMs = durationMs;
	}

	/**
	 * How long the thread that stops wanted to sleep.
	 * @return the sum
	 */
	synchronized long sleptMs() {
		return this.sleptMs;
	}

	/**
	 * Whether the entry has noted that it runs since the last leap.
	 * @return {@code true} where the note is written for sure
	 */
	synchronized boolean runRecorded() {
		// The thread comes back to the clock only after it has written what it read.
		return this.looks > 1;
	}

	@Override
	public synchronized long nowMs() {
		if (Thread.currentThread() == this.stops) {
			this.leaptMs += this.pendingMs;
			this.pendingMs = 0;
		}
		if ("whin-running".equals(Thread.currentThread().getName())) {
			this.looks++;
		}
		return this.machine.nowMs() + this.leaptMs;
	}

	@Override
	public void sleepMs(long durationMs) throws InterruptedException {
		synchronized (this) {
			if (Thread.currentThread() == this.stops) {
				this.sleptMs += durationMs;
				this.leaptMs += durationMs;
				return;
			}
		}
		this.machine.sleepMs(durationMs);
	}

}
