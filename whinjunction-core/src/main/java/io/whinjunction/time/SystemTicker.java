package io.whinjunction.time;

import java.util.concurrent.TimeUnit;

/**
 * The machine's monotonic clock. Stateless, thread-safe.
 */
final class SystemTicker implements Ticker {

	@Override
	public long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	@Override
	public void sleepMs(long durationMs) throws InterruptedException {
		Thread.sleep(Math.max(0, durationMs));
	}

}
