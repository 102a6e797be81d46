package io.whinjunction.promises;

import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.time.Ticker;

/**
 * Clock that advances only by {@link #advance(long)} and by sleeps. Thread-safe.
 */
final class VirtualTicker implements Ticker {

	private final AtomicLong nowMs = new AtomicLong();

	@Override
	public long nowMs() {
		return this.nowMs.get();
	}

	@Override
	public void sleepMs(long durationMs) {
		advance(durationMs);
	}

	void advance(long durationMs) {
		this.nowMs.addAndGet(durationMs);
	}

}
