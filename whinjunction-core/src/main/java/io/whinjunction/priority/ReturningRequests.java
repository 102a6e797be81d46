package io.whinjunction.priority;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognizes requests that were refused here and come back.
 * <p>
 * Load pattern: callers whose requests are refused repeat them at once and often. Only
 * those that waited as long as they were told last go before newcomers.
 * <p>
 * Invariant: at most {@link #MAX_REMEMBERED} refusals are remembered, the newest ones.
 * Confined to the event loop.
 */
public final class ReturningRequests {

	/** Bounds memory; enough for the refusals of some seconds. */
	static final int MAX_REMEMBERED = 512;

	/** Tolerates callers whose timers round down, in milliseconds. */
	private static final long TOLERANCE_MS = 20;

	private final Map<Long, Long> returnAtMs = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_REMEMBERED;
		}

	};

	/**
	 * Records a refusal.
	 * @param fingerprint identifies requests with the same content
	 * @param returnAtMs when the caller was told to come back
	 */
	public void refused(long fingerprint, long returnAtMs) {
		this.returnAtMs.remove(fingerprint);
		this.returnAtMs.put(fingerprint, returnAtMs);
	}

	/**
	 * Returns whether a request was refused before and comes back in time.
	 * @param fingerprint identifies requests with the same content
	 * @param nowMs the time
	 * @return {@code false} if it was not refused lately, or comes too early
	 */
	public boolean returned(long fingerprint, long nowMs) {
		Long told = this.returnAtMs.get(fingerprint);
		return told != null && nowMs >= told - TOLERANCE_MS;
	}

	/**
	 * Forgets a refusal, as the request began.
	 * @param fingerprint identifies requests with the same content
	 */
	public void began(long fingerprint) {
		this.returnAtMs.remove(fingerprint);
	}

}
