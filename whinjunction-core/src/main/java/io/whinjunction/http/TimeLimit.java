package io.whinjunction.http;

import java.util.concurrent.ExecutionException;

import io.whinjunction.time.Ticker;

/**
 * Waits for an answer within a limit. Confined to its caller.
 */
final class TimeLimit {

	private final long limitMs;

	private final Ticker ticker;

	/**
	 * A limit that begins with the wait.
	 * @param limitMs how long the other side has, in milliseconds
	 * @param ticker the clock
	 */
	TimeLimit(long limitMs, Ticker ticker) {
		this.limitMs = limitMs;
		this.ticker = ticker;
	}

	/**
	 * How long a wait may take in all.
	 * @param limitMs the limit
	 * @return milliseconds
	 */
	static long longestMs(long limitMs) {
		return limitMs;
	}

	/**
	 * Waits.
	 * @param answer what is waited for
	 * @return whether it came
	 * @throws InterruptedException where the thread is interrupted
	 * @throws ExecutionException where the call failed
	 */
	boolean await(Answer answer) throws InterruptedException, ExecutionException {
		return answer.within(this.limitMs);
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
