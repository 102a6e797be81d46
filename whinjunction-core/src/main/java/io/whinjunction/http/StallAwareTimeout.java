package io.whinjunction.http;

import java.util.concurrent.ExecutionException;

import io.whinjunction.time.Ticker;

/**
 * Waits for an answer with a timeout that counts only time during which this process ran.
 * <p>
 * Guards against a process short of CPU that stalls for longer than a timeout. The thread
 * that reads connections and the thread that waits stall together, so the timeout expires
 * while the answer is still unread, and all upstreams with work in progress are taken for
 * unresponsive at once although they are healthy. The wait is divided into polls; a poll
 * that returns late shows that this process did not run. It proves nothing about the
 * other side and is repeated. Measuring the delay of the waiting thread is sufficient,
 * because a cause that keeps only the reading thread from running is not CPU starvation.
 * <p>
 * Invariant: a wait takes at most {@link #maxWaitMs} plus one poll and the delay of two
 * polls. Confined to its caller.
 */
final class StallAwareTimeout {

	/**
	 * Ten wake-ups per timeout cost little, and a tenth of the timeout is a short enough
	 * poll interval.
	 */
	private static final int POLLS_PER_TIMEOUT = 10;

	/** Shorter polls would mistake the usual delay of timers for a stall. */
	private static final long MIN_POLL_MS = 20;

	/**
	 * Bounds the wait however delayed this process is, so that the waiting caller always
	 * gets a result.
	 */
	private static final int MAX_WAIT_FACTOR = 2;

	private final long limitMs;

	private final long pollMs;

	private final Ticker ticker;

	/**
	 * Creates a timeout that starts when the wait starts.
	 * @param limitMs how long the other side may take, in milliseconds
	 * @param ticker the clock
	 */
	StallAwareTimeout(long limitMs, Ticker ticker) {
		this.limitMs = limitMs;
		this.pollMs = Math.max(MIN_POLL_MS, limitMs / POLLS_PER_TIMEOUT);
		this.ticker = ticker;
	}

	/**
	 * Returns how long a wait may take in total, including delays of this process.
	 * @param limitMs the timeout, in milliseconds
	 * @return milliseconds
	 */
	static long maxWaitMs(long limitMs) {
		return limitMs * MAX_WAIT_FACTOR;
	}

	/**
	 * Waits for an answer.
	 * @param answer the answer to wait for
	 * @return whether it arrived
	 * @throws InterruptedException where the thread is interrupted
	 * @throws ExecutionException where the call failed
	 */
	boolean await(Answer answer) throws InterruptedException, ExecutionException {
		long nowMs = this.ticker.nowMs();
		long endMs = nowMs + maxWaitMs(this.limitMs);
		long countedMs = 0;
		boolean punctual = true;
		while (countedMs < this.limitMs && nowMs < endMs) {
			long startMs = nowMs;
			long waitMs = Math.min(this.pollMs, Math.min(this.limitMs - countedMs, endMs - nowMs));
			if (answer.within(waitMs)) {
				return true;
			}
			nowMs = this.ticker.nowMs();
			long tookMs = nowMs - startMs;
			punctual = tookMs - waitMs <= this.pollMs / 2;
			countedMs += punctual ? tookMs : 0;
		}
		// An answer that arrived during a delayed last poll has not been read yet.
		return !punctual && answer.within(this.pollMs);
	}

	/**
	 * An answer that may arrive.
	 */
	@FunctionalInterface
	interface Answer {

		/**
		 * Waits for the answer.
		 * @param durationMs how long to wait, in milliseconds
		 * @return whether it arrived
		 * @throws InterruptedException where the thread is interrupted
		 * @throws ExecutionException where the call failed
		 */
		boolean within(long durationMs) throws InterruptedException, ExecutionException;

	}

}
