package io.whinjunction.http;

import java.util.concurrent.ExecutionException;

import io.whinjunction.time.Ticker;

/**
 * Waits for an answer within a limit that counts only time in which this process ran.
 * <p>
 * The failure it is there for: a starved process stands still for longer than a limit.
 * The thread that reads connections and the one that waits stood still together, so the
 * limit is over while the answer lies unread, and all upstreams with work under way are
 * taken for silent at once, though they are well. The wait is cut into looks; one that
 * returns late shows that this process did not run, proves nothing about the other side
 * and is made again. Looking at the lateness of the waiting thread is enough, since what
 * keeps the reading thread alone from running is not starvation.
 * <p>
 * Invariant: a wait takes at most {@link #maxWaitMs}, one look and the lateness of two.
 * Confined to its caller.
 */
final class StallAwareTimeout {

	/**
	 * Ten wake-ups a limit cost little, and a tenth of it is soon enough to look again.
	 */
	private static final int LOOKS = 10;

	/** Shorter looks would take the usual lateness of timers for a standstill. */
	private static final long SHORTEST_LOOK_MS = 20;

	/** However late this process is, whoever waits for the call must hear of it. */
	private static final int LONGEST_LIMITS = 2;

	private final long limitMs;

	private final long lookMs;

	private final Ticker ticker;

	/**
	 * A limit that begins with the wait.
	 * @param limitMs how long the other side has, in milliseconds
	 * @param ticker the clock
	 */
	StallAwareTimeout(long limitMs, Ticker ticker) {
		this.limitMs = limitMs;
		this.lookMs = Math.max(SHORTEST_LOOK_MS, limitMs / LOOKS);
		this.ticker = ticker;
	}

	/**
	 * How long a wait may take in all, the lateness of this process included.
	 * @param limitMs the limit
	 * @return milliseconds
	 */
	static long maxWaitMs(long limitMs) {
		return limitMs * LONGEST_LIMITS;
	}

	/**
	 * Waits.
	 * @param answer what is waited for
	 * @return whether it came
	 * @throws InterruptedException where the thread is interrupted
	 * @throws ExecutionException where the call failed
	 */
	boolean await(Answer answer) throws InterruptedException, ExecutionException {
		long nowMs = this.ticker.nowMs();
		long endMs = nowMs + maxWaitMs(this.limitMs);
		long countedMs = 0;
		boolean punctual = true;
		while (countedMs < this.limitMs && nowMs < endMs) {
			long askedAtMs = nowMs;
			long waitMs = Math.min(this.lookMs, Math.min(this.limitMs - countedMs, endMs - nowMs));
			if (answer.within(waitMs)) {
				return true;
			}
			nowMs = this.ticker.nowMs();
			long tookMs = nowMs - askedAtMs;
			punctual = tookMs - waitMs <= this.lookMs / 2;
			countedMs += punctual ? tookMs : 0;
		}
		// What came during a late last look has not been read yet.
		return !punctual && answer.within(this.lookMs);
	}

	/**
	 * An answer that may come.
	 */
	@FunctionalInterface
	interface Answer {

		/**
		 * Waits for it.
		 * @param durationMs for how long, in milliseconds
		 * @return whether it is there
		 * @throws InterruptedException where the thread is interrupted
		 * @throws ExecutionException where the call failed
		 */
		boolean within(long durationMs) throws InterruptedException, ExecutionException;

	}

}
