package io.whinjunction.router;

import java.util.random.RandomGenerator;

/**
 * Decides whether a call is sent to a store that rejects calls.
 * <p>
 * Load pattern: while the store is down or rejects a router, each part of the router
 * retries at its own pace, so that a large fleet makes hundreds of calls a second, all of
 * which are rejected and cost resources. The parts back off together instead: between
 * pauses a single call shows whether the store is back, and its success ends the pause
 * for all of them. The pause grows with the fleet, whose routers prove what they read to
 * each other, up to a bound that is a small part of the time for which a proof holds.
 * <p>
 * Invariants: one rejection alone pauses nothing; any answer ends the pause. Confined to
 * the event loop.
 */
public final class StoreBackoff {

	/**
	 * Bounds the pause, in milliseconds, so that a few attempts fit into the time for
	 * which a proof of the list of upstreams or of keys holds.
	 */
	static final long MAX_PAUSE_MS = 1000;

	/** Contribution of each router of the fleet to the bound, in milliseconds. */
	static final long MS_PER_ROUTER = 15;

	/**
	 * The bound while the size of the fleet is unknown, in milliseconds. A smaller fleet
	 * makes so few calls that its routers need not pause.
	 */
	static final long MIN_PAUSE_MS = 250;

	/** A random part of the pause, so that routers do not call at the same time. */
	private static final double JITTER_RATIO = 0.5;

	private final RandomGenerator random;

	private int routers;

	private int rejections;

	private long pausedUntilMs = Long.MIN_VALUE;

	/**
	 * Creates an instance that pauses nothing.
	 * @param random the source of randomness
	 */
	public StoreBackoff(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Notes the size of the fleet.
	 * @param count the number of routers that announced themselves
	 */
	public void routersCounted(int count) {
		this.routers = count;
	}

	/**
	 * Returns whether a call is sent now. The first one after a pause is; the next one
	 * waits for its result or for another pause.
	 * @param nowMs the time
	 * @return {@code false} if it counts as rejected without being sent
	 */
	public boolean admits(long nowMs) {
		if (nowMs < this.pausedUntilMs) {
			return false;
		}
		if (this.rejections > 1) {
			pause(nowMs);
		}
		return true;
	}

	/**
	 * Notes that the store rejected a call.
	 * @param nowMs the time
	 * @return whether a pause begins
	 */
	public boolean rejected(long nowMs) {
		this.rejections++;
		if (this.rejections != 2) {
			return false;
		}
		pause(nowMs);
		return this.pausedUntilMs > nowMs;
	}

	/** Notes that the store answered a call. */
	public void answered() {
		this.rejections = 0;
		this.pausedUntilMs = Long.MIN_VALUE;
	}

	private void pause(long nowMs) {
		long boundMs = boundMs();
		long jitterMs = (long) (JITTER_RATIO * boundMs);
		this.pausedUntilMs = nowMs + boundMs - ((jitterMs > 0) ? this.random.nextLong(jitterMs) : 0);
	}

	private long boundMs() {
		if (this.routers == 0) {
			return MIN_PAUSE_MS;
		}
		long boundMs = Math.min(MAX_PAUSE_MS, MS_PER_ROUTER * this.routers);
		return (boundMs < MIN_PAUSE_MS) ? 0 : boundMs;
	}

}
