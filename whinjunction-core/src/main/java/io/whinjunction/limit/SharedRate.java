package io.whinjunction.limit;

/**
 * One router's part of a rate that many share.
 * <p>
 * Invariant: over any time, no more is taken than one and the part of the rate that this
 * time makes up; nothing is saved up beyond one, so that routers which were idle don't
 * all send at once. Not safe for threads: confined to the event loop.
 */
public final class SharedRate {

	private double perSecond;

	/** What may be taken, as of {@link #atMs}; 1 at most. */
	private double saved;

	private long atMs;

	/**
	 * A rate of which nothing was taken yet.
	 * @param saved what is saved up, from 0 to 1: a random part, so that routers that
	 * begin together don't take their first together
	 * @param nowMs the time
	 */
	public SharedRate(double saved, long nowMs) {
		this.saved = saved;
		this.atMs = nowMs;
	}

	/**
	 * Sets the rate from now on.
	 * @param perSecond how many a second; 0 for none
	 * @param nowMs the time
	 */
	public void setRate(double perSecond, long nowMs) {
		saveUp(nowMs);
		this.perSecond = perSecond;
	}

	/**
	 * Whether one may be taken.
	 * @param nowMs the time
	 * @return whether one is saved up
	 */
	public boolean ready(long nowMs) {
		saveUp(nowMs);
		return this.saved >= 1 && this.perSecond > 0;
	}

	/**
	 * Takes one; what was not ready is owed.
	 * @param nowMs the time
	 */
	public void take(long nowMs) {
		saveUp(nowMs);
		this.saved--;
	}

	private void saveUp(long nowMs) {
		this.saved = Math.min(1, this.saved + this.perSecond * (nowMs - this.atMs) / 1000);
		this.atMs = nowMs;
	}

}
