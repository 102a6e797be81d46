package io.whinjunction.session;

/**
 * Bounds retries to a part of the requests, whatever fails.
 * <p>
 * The failure it is there for: when everything fails at once each request would be tried
 * several times, and the retries alone would keep the overload up after its cause is
 * gone. What retries cost is earned before by requests and by tokens that came out well;
 * where nothing comes out any more, nothing is earned, and the reserve is all there is.
 * <p>
 * Invariant: retries granted are at most {@code reserve + part * requests} plus
 * {@link #PER_TOKEN} for each token made. Safe for all threads.
 */
public final class RetryBudget {

	/** A resumed draft costs one more prefill, so a hundred tokens pay for one. */
	static final double PER_TOKEN = 0.01;

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
	public synchronized void recordRequest() {
		earn(this.part);
	}

	/**
	 * A token of a draft was made.
	 */
	public synchronized void recordToken() {
		earn(PER_TOKEN);
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

	private void earn(double earned) {
		this.tokens = Math.min(this.reserve, this.tokens + earned);
	}

}
