package io.whinjunction.forward;

import java.util.random.RandomGenerator;

/**
 * The pauses between the attempts to resume one stream that has begun.
 * <p>
 * Load pattern: an engine ends, and the streams of all routers that it served resume at
 * the same few engines, which turn some of them away. A random part spreads the next
 * attempts, and the pause doubles so that streams that are turned away again do not keep
 * these engines full. Not thread-safe: confined to the event loop.
 */
public final class ResumePauses {

	/** The longest first pause after an attempt without progress, in milliseconds. */
	private static final long FIRST_AFTER_ATTEMPT_MS = 80;

	/** The longest pause after an attempt without progress, in milliseconds. */
	private static final long MAX_AFTER_ATTEMPT_MS = 640;

	/** The longest first pause while no attempt can begin, in milliseconds. */
	private static final long FIRST_BEFORE_ATTEMPT_MS = 24;

	/** The longest pause while no attempt can begin, in milliseconds. */
	private static final long MAX_BEFORE_ATTEMPT_MS = 192;

	private final RandomGenerator random;

	private long afterAttemptMs = FIRST_AFTER_ATTEMPT_MS;

	private long beforeAttemptMs = FIRST_BEFORE_ATTEMPT_MS;

	/**
	 * Creates the pauses of a stream.
	 * @param random the source of randomness
	 */
	public ResumePauses(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns the next pause. A pause before the next check whether an attempt can begin
	 * is shorter than one after an attempt, which took a retry of the budget.
	 * @param obstacle what prevents the stream from being resumed now
	 * @return milliseconds: from half to the whole of a length that doubles up to a limit
	 */
	public long nextMs(RetryObstacle obstacle) {
		long longestMs;
		if (obstacle == RetryObstacle.NO_PROGRESS) {
			longestMs = this.afterAttemptMs;
			this.afterAttemptMs = Math.min(MAX_AFTER_ATTEMPT_MS, 2 * longestMs);
		}
		else {
			longestMs = this.beforeAttemptMs;
			this.beforeAttemptMs = Math.min(MAX_BEFORE_ATTEMPT_MS, 2 * longestMs);
		}
		return longestMs - this.random.nextLong(longestMs / 2 + 1);
	}

	/** Starts again with the shortest pauses, because the stream made progress. */
	public void reset() {
		this.afterAttemptMs = FIRST_AFTER_ATTEMPT_MS;
		this.beforeAttemptMs = FIRST_BEFORE_ATTEMPT_MS;
	}

}
