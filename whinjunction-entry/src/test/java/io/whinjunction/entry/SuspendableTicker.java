package io.whinjunction.entry;

import io.whinjunction.time.Ticker;

/**
 * System clock with emulated suspensions of the process. The thread that stops an entry
 * does not sleep: its sleeps advance the clock and are summed up.
 * <p>
 * A suspension that ends as a signal is handled takes effect when the handling thread
 * first reads the clock, so that no other thread runs in between. Thread-safe.
 */
final class SuspendableTicker implements Ticker {

	private final Ticker system = Ticker.system();

	private long offsetMs;

	private long pendingSuspensionMs;

	private Thread stoppingThread;

	private long sleptMs;

	/** The clock reads of the thread that records that the entry is running. */
	private int clockReads;

	/**
	 * Emulates a suspension of the process that ends now.
	 * @param durationMs the duration
	 */
	synchronized void suspend(long durationMs) {
		this.offsetMs += durationMs;
		this.clockReads = 0;
	}

	/**
	 * Marks the calling thread as the one that stops the entry, after a signal that
	 * arrived during a suspension.
	 * @param durationMs the duration of the suspension
	 */
	synchronized void suspendBeforeSignal(long durationMs) {
		this.stoppingThread = Thread.currentThread();
		this.pendingSuspensionMs = durationMs;
	}

	/**
	 * Returns the total requested sleep time of the thread that stops the entry.
	 * @return the sum of the requested sleeps
	 */
	synchronized long sleptMs() {
		return this.sleptMs;
	}

	/**
	 * Returns whether the entry has recorded that it is running since the last
	 * suspension.
	 * @return {@code true} if the record is certainly written
	 */
	synchronized boolean runRecorded() {
		// The thread reads the clock again only after it has recorded the previous time.
		return this.clockReads > 1;
	}

	@Override
	public synchronized long nowMs() {
		if (Thread.currentThread() == this.stoppingThread) {
			this.offsetMs += this.pendingSuspensionMs;
			this.pendingSuspensionMs = 0;
		}
		if ("whin-running".equals(Thread.currentThread().getName())) {
			this.clockReads++;
		}
		return this.system.nowMs() + this.offsetMs;
	}

	@Override
	public void sleepMs(long durationMs) throws InterruptedException {
		synchronized (this) {
			if (Thread.currentThread() == this.stoppingThread) {
				this.sleptMs += durationMs;
				this.offsetMs += durationMs;
				return;
			}
		}
		this.system.sleepMs(durationMs);
	}

}
