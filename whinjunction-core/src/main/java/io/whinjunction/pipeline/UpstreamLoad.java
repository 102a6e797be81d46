package io.whinjunction.pipeline;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * This entry's own, never lagging, observations of one upstream.
 * <p>
 * Invariant: {@link #inFlight()} equals the starts without an end. Safe for all threads;
 * the smoothed time may lose an update under a race, which only delays it.
 */
public final class UpstreamLoad {

	private static final double SMOOTHING = 0.1;

	/** First pause after a failure; doubles with each further one up to the limit. */
	private static final long FIRST_PAUSE_MS = 500;

	private static final int MAX_DOUBLINGS = 5;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicInteger failuresInRow = new AtomicInteger();

	private final AtomicLong pausedUntilMs = new AtomicLong(Long.MIN_VALUE);

	private volatile double smoothedMs;

	private volatile boolean pausedOnce;

	/**
	 * A piece of work starts.
	 */
	public void start() {
		this.inFlight.incrementAndGet();
	}

	/**
	 * A piece of work ends, well or not.
	 */
	public void end() {
		this.inFlight.decrementAndGet();
	}

	/**
	 * Work that this entry has on the upstream.
	 * @return the number of started, unfinished pieces
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * A step came back.
	 * @param durationMs how long it took, in milliseconds
	 */
	public void succeeded(double durationMs) {
		double old = this.smoothedMs;
		this.smoothedMs = (old != 0) ? old + SMOOTHING * (durationMs - old) : durationMs;
		if (this.pausedOnce) {
			this.failuresInRow.set(0);
			this.pausedOnce = false;
		}
	}

	/**
	 * A step failed: the upstream gets no new work for a while, then a single try
	 * decides.
	 * @param nowMs the time
	 */
	public void failed(long nowMs) {
		int failures = this.failuresInRow.getAndIncrement();
		this.pausedOnce = true;
		this.pausedUntilMs.set(nowMs + (FIRST_PAUSE_MS << Math.min(failures, MAX_DOUBLINGS)));
	}

	/**
	 * Whether a recent failure keeps new work away.
	 * @param nowMs the time
	 * @return {@code true} during the pause
	 */
	public boolean paused(long nowMs) {
		return this.pausedOnce && nowMs < this.pausedUntilMs.get();
	}

	/**
	 * The smoothed time of a step.
	 * @return milliseconds; 0 before the first
	 */
	public double smoothedMs() {
		return this.smoothedMs;
	}

}
