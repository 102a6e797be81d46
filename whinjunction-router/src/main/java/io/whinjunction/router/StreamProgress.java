package io.whinjunction.router;

/**
 * Records when the events of one answer were sent to its caller. Confined to the event
 * loop.
 */
final class StreamProgress {

	private long firstMs = -1;

	private long lastAtMs;

	private long longestGapMs;

	/**
	 * Records that events were sent.
	 * @param nowMs the time
	 * @param startedMs when the request arrived
	 */
	void recordEvents(long nowMs, long startedMs) {
		if (this.firstMs < 0) {
			this.firstMs = nowMs - startedMs;
		}
		else {
			this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.lastAtMs);
		}
		this.lastAtMs = nowMs;
	}

	/**
	 * Returns the time from the arrival of the request to its first event.
	 * @return milliseconds; -1 before that event
	 */
	long firstMs() {
		return this.firstMs;
	}

	@Override
	public String toString() {
		return "first-ms=" + this.firstMs + " gap-ms=" + this.longestGapMs;
	}

}
