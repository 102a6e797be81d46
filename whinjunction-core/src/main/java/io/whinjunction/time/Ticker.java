package io.whinjunction.time;

/**
 * A monotonic clock that can be replaced by a virtual one in tests. Implementations are
 * thread-safe.
 */
public interface Ticker {

	/**
	 * Returns the milliseconds since an arbitrary origin; never decreases.
	 * @return the time in milliseconds
	 */
	long nowMs();

	/**
	 * Blocks the calling thread.
	 * @param durationMs how long, in milliseconds
	 * @throws InterruptedException if the thread is interrupted
	 */
	void sleepMs(long durationMs) throws InterruptedException;

	/**
	 * Returns the machine's clock.
	 * @return a ticker on {@link System#nanoTime()}
	 */
	static Ticker system() {
		return new SystemTicker();
	}

}
