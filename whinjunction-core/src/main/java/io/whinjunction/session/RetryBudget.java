package io.whinjunction.session;

/**
 * Bounds retries to a part of the requests, whatever fails.
 * <p>
 * The failure it is there for: when everything fails at once each request would be tried
 * several times, and the retries alone would keep the overload up after its cause is
 * gone. A tenth of a token per request and a small reserve hold retries below that part.
 * <p>
 * Invariant: retries granted are at most {@code reserve + part * requests}. Safe for all
 * threads.
 */
public final class RetryBudget {

	private final double part;

	private final double reserve;

	private double tokens;

	/**
	 * A budget.
	 * @param part retries per request, for example 0.1
	 * @param reserve retries that may be saved up
	 */
	public RetryBudget(double part, double reserve) {
		this.part = part;
		this.reserve = reserve;
		this.tokens = reserve;
	}

	/**
	 * A request was begun.
	 */
	public synchronized void requested() {
		this.tokens = Math.min(this.reserve, this.tokens + this.part);
	}

	/**
	 * Asks for one retry.
	 * @return whether it is granted
	 */
	public synchronized boolean tryRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
