package io.whinjunction.availability;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks how long upstreams requested not to be called.
 * <p>
 * Invariants: a backoff ends at the latest time that the upstream named in any of its
 * answers, since answers to requests that were under way together arrive in any order; a
 * success in between does not end it. Thread-safe.
 */
public final class RequestedBackoffs {

	private final Map<String, Long> endMs = new ConcurrentHashMap<>();

	/**
	 * Records the request of an upstream.
	 * @param upstream identifies one start of the upstream
	 * @param durationMs how long it is not to be called, in milliseconds
	 * @param nowMs the current time
	 * @return whether the upstream was not in a backoff before, and is now
	 */
	public boolean request(String upstream, long durationMs, long nowMs) {
		removeExpired(nowMs);
		if (durationMs <= 0) {
			return false;
		}
		long requestedEndMs = (nowMs > Long.MAX_VALUE - durationMs) ? Long.MAX_VALUE : nowMs + durationMs;
		boolean begins = !this.endMs.containsKey(upstream);
		this.endMs.merge(upstream, requestedEndMs, Math::max);
		return begins;
	}

	/**
	 * Returns whether an upstream is not to be called.
	 * @param upstream identifies one start of the upstream
	 * @param nowMs the current time
	 * @return {@code true} until its backoff ends
	 */
	public boolean active(String upstream, long nowMs) {
		return remainingMs(upstream, nowMs) > 0;
	}

	/**
	 * Returns when an upstream may be called again.
	 * @param upstream identifies one start of the upstream
	 * @param nowMs the current time
	 * @return milliseconds from now; 0 if it may be called
	 */
	public long remainingMs(String upstream, long nowMs) {
		Long end = this.endMs.get(upstream);
		return (end != null && end > nowMs) ? end - nowMs : 0;
	}

	/**
	 * Drops the backoffs that are over.
	 * @param nowMs the current time
	 */
	public void removeExpired(long nowMs) {
		this.endMs.values().removeIf((end) -> end <= nowMs);
	}

	/**
	 * Returns the number of backoffs, including those that ended since
	 * {@link #removeExpired}.
	 * @return the number
	 */
	public int count() {
		return this.endMs.size();
	}

}
