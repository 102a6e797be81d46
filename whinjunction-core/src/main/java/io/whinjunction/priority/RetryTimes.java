package io.whinjunction.priority;

import java.util.random.RandomGenerator;

/**
 * Decides when refused callers are told to come back.
 * <p>
 * Load pattern: a burst is refused within a second. Callers that are all told the same
 * time return as a second burst. Each rank returns at random within a span, and a less
 * urgent one within a longer span. Stateless.
 */
public final class RetryTimes {

	/** The shortest time, unless the caller has too little time left, in milliseconds. */
	private static final long MIN_MS = 500;

	/**
	 * The span of the most urgent rank, in milliseconds; that of the next is twice it.
	 */
	private static final long SPAN_MS = 500;

	/** Callers wait for at most this part of the time that they have left. */
	private static final int LEFT_DIVISOR = 3;

	private RetryTimes() {
	}

	/**
	 * Returns when a caller may come back.
	 * @param drainMs when what is ahead of it is expected to have begun, in milliseconds
	 * from now
	 * @param rank the rank of its request
	 * @param leftMs the time that the caller has left, in milliseconds
	 * @param random the source of randomness
	 * @return milliseconds from now, at most a third of the time left
	 */
	public static long afterMs(long drainMs, int rank, long leftMs, RandomGenerator random) {
		long latestMs = Math.max(0, leftMs / LEFT_DIVISOR);
		long spanMs = SPAN_MS * (1 + rank);
		long earliestMs = Math.clamp(Math.max(MIN_MS, drainMs), 0, Math.max(0, latestMs - spanMs));
		return random.nextLong(earliestMs, Math.min(latestMs, earliestMs + spanMs) + 1);
	}

}
