package io.whinjunction.session;

/**
 * Bounds retries to a ratio of the requests, whatever fails.
 * <p>
 * Guards against retry storms: when everything fails at once, each request would be tried
 * several times, and the retries alone would sustain the overload after its cause is
 * gone. Retries are earned in advance by requests and by generated tokens. When no tokens
 * are generated any more, only requests and the reserve allow retries.
 * <p>
 * Invariant: the retries granted are at most {@code reserve + ratio * requests} plus
 * {@link #RETRIES_PER_TOKEN} for each generated token. Thread-safe.
 */
public final class RetryBudget {

	/**
	 * Retries earned per token. A resumed draft costs one more prefill, so one hundred
	 * tokens earn one retry.
	 */
	static final double RETRIES_PER_TOKEN = 0.01;

	private final double ratio;

	private final double reserve;

	private double tokens;

	/**
	 * Creates a budget that starts with the full reserve.
	 * @param ratio retries per request, for example 0.1
	 * @param reserve the maximum number of retries that may accumulate
	 */
	public RetryBudget(double ratio, double reserve) {
		this.ratio = ratio;
		this.reserve = reserve;
		this.tokens = reserve;
	}

	/**
	 * Records the start of a request.
	 */
	public synchronized void recordRequest() {
		earn(this.ratio);
	}

	/**
	 * Records a generated token.
	 */
	public synchronized void recordToken() {
		earn(RETRIES_PER_TOKEN);
	}

	/**
	 * Takes one retry from the budget.
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
