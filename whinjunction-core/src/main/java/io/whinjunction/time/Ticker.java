package io.whinjunction.time;

/**
 * A monotonic clock that decisions read instead of the machine's, so that tests drive
 * them with a virtual one. Implementations are safe for all threads.
 */
public interface Ticker {

	/**
	 * Milliseconds since an arbitrary origin; never goes back.
	 * @return the time in milliseconds
	 */
	long nowMs();

	/**
	 * Waits.
	 * @param durationMs how long, in milliseconds
	 * @throws InterruptedException where the thread is interrupted
	 */
	void sleepMs(long durationMs) throws InterruptedException;

	/**
	 * The machine's clock.
	 * @return a ticker on {@link System#nanoTime()}
	 */
	static Ticker system() {
		return new SystemTicker();
	}

}
