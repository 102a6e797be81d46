package io.whinjunction.pipeline;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * This entry's own observations of one upstream, which do not lag.
 * <p>
 * Invariant: {@link #inFlight()} equals the number of starts without an end. Thread-safe;
 * the smoothed time may lose an update in a race, which only delays it.
 */
public final class UpstreamLoad {

	private static final double SMOOTHING = 0.1;

	/**
	 * Backoff after the first failure; doubles with each further one up to the limit.
	 */
	private static final long FIRST_BACKOFF_MS = 500;

	private static final int MAX_DOUBLINGS = 5;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicInteger failuresInRow = new AtomicInteger();

	private final AtomicLong backoffUntilMs = new AtomicLong(Long.MIN_VALUE);

	private volatile double smoothedMs;

	private volatile boolean hasFailed;

	/** Records that a unit of work starts. */
	public void start() {
		this.inFlight.incrementAndGet();
	}

	/** Records that a unit of work ends, successfully or not. */
	public void end() {
		this.inFlight.decrementAndGet();
	}

	/**
	 * Returns the work of this entry on the upstream.
	 * @return the number of started, unfinished units
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Records a successful step.
	 * @param durationMs its duration, in milliseconds
	 */
	public void succeeded(double durationMs) {
		double old = this.smoothedMs;
		this.smoothedMs = (old != 0) ? old + SMOOTHING * (durationMs - old) : durationMs;
		succeededUnmeasured();
	}

	/** Records a successful step whose duration says nothing about the upstream. */
	void succeededUnmeasured() {
		if (this.hasFailed) {
			this.failuresInRow.set(0);
			this.hasFailed = false;
		}
	}

	/**
	 * Records a failed step: the upstream gets no new work during the backoff, then a
	 * single attempt decides. Failures during a backoff do not prolong it: they are those
	 * of work that began before it, or of a last resort.
	 * @param nowMs the current time
	 */
	public void failed(long nowMs) {
		if (backingOff(nowMs)) {
			return;
		}
		int failures = this.failuresInRow.getAndIncrement();
		this.hasFailed = true;
		this.backoffUntilMs.set(nowMs + (FIRST_BACKOFF_MS << Math.min(failures, MAX_DOUBLINGS)));
	}

	/**
	 * Returns whether the upstream is in backoff after a failure.
	 * @param nowMs the current time
	 * @return {@code true} during the backoff
	 */
	public boolean backingOff(long nowMs) {
		return this.hasFailed && nowMs < this.backoffUntilMs.get();
	}

	/**
	 * Returns the smoothed duration of a step.
	 * @return milliseconds; 0 before the first
	 */
	public double smoothedMs() {
		return this.smoothedMs;
	}

}
