package io.whinjunction.limit;

/**
 * Token bucket of capacity one for a router's share of a rate that several routers have
 * in common.
 * <p>
 * Invariant: over an interval of length {@code t}, at most {@code 1 + rate * t} tokens
 * are taken. At most one token accumulates, so that routers that were idle don't all send
 * at once. Not thread-safe: confined to the event loop.
 */
public final class SharedRate {

	private double perSecond;

	/**
	 * Tokens available at {@link #atMs}; at most 1, negative after a take that was not
	 * ready.
	 */
	private double tokens;

	private long atMs;

	/**
	 * Creates a bucket with a rate of 0.
	 * @param tokens initial tokens, from 0 to 1; random, so that routers that start
	 * together don't take their first token at the same time
	 * @param nowMs the time
	 */
	public SharedRate(double tokens, long nowMs) {
		this.tokens = tokens;
		this.atMs = nowMs;
	}

	/**
	 * Sets the rate that applies from now on.
	 * @param perSecond tokens per second; 0 for none
	 * @param nowMs the time
	 */
	public void setRate(double perSecond, long nowMs) {
		refill(nowMs);
		this.perSecond = perSecond;
	}

	/**
	 * Returns whether a token may be taken.
	 * @param nowMs the time
	 * @return {@code true} if a full token is available and the rate is not 0
	 */
	public boolean ready(long nowMs) {
		refill(nowMs);
		return this.tokens >= 1 && this.perSecond > 0;
	}

	/**
	 * Takes a token; the balance goes negative if none was available.
	 * @param nowMs the time
	 */
	public void take(long nowMs) {
		refill(nowMs);
		this.tokens--;
	}

	private void refill(long nowMs) {
		this.tokens = Math.min(1, this.tokens + this.perSecond * (nowMs - this.atMs) / 1000);
		this.atMs = nowMs;
	}

}
