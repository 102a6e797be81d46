package io.whinjunction.promises;

import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.time.Ticker;

/**
 * A clock that only moves when told to. Safe for all threads.
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
