package io.whinjunction.session;

import io.whinjunction.time.Ticker;

/**
 * Bounds retries to a ratio of the requests, whatever fails.
 * <p>
 * Guards against retry storms: when everything fails at once, each request would be tried
 * several times, and the retries alone would sustain the overload after its cause is
 * gone. Retries are earned in advance by requests and by generated tokens. When no tokens
 * are generated any more, only requests, the reserve and the time in which it is regained
 * allow retries. Without the latter, drafts that wait for a retry would wait in vain if
 * no request came and no other draft made progress.
 * <p>
 * Invariant: the retries granted are at most {@code reserve + ratio * requests} plus
 * {@link #RETRIES_PER_TOKEN} for each generated token, plus {@code reserve} for each
 * {@link #REGAIN_MS} with a clock. Thread-safe.
 */
public final class RetryBudget {

	/**
	 * Retries earned per token. A resumed draft costs one more prefill, so one hundred
	 * tokens earn one retry.
	 */
	static final double RETRIES_PER_TOKEN = 0.01;

	/** The time in which an empty reserve is regained, in milliseconds. */
	static final long REGAIN_MS = 60_000;

	private final double ratio;

	private final double reserve;

	private final Ticker ticker;

	private double tokens;

	private long regainedAtMs;

	/**
	 * Creates a budget that starts with the full reserve and regains nothing by time.
	 * @param ratio retries per request, for example 0.1
	 * @param reserve the maximum number of retries that may accumulate
	 */
	public RetryBudget(double ratio, double reserve) {
		this(ratio, reserve, null);
	}

	/**
	 * Creates a budget that starts with the full reserve and regains it by time.
	 * @param ratio retries per request, for example 0.1
	 * @param reserve the maximum number of retries that may accumulate
	 * @param ticker the clock; {@code null} for none
	 */
	public RetryBudget(double ratio, double reserve, Ticker ticker) {
		this.ratio = ratio;
		this.reserve = reserve;
		this.ticker = ticker;
		this.tokens = reserve;
		this.regainedAtMs = nowMs();
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
		long nowMs = nowMs();
		earn(this.reserve * (nowMs - this.regainedAtMs) / REGAIN_MS);
		this.regainedAtMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	private long nowMs() {
		return (this.ticker != null) ? this.ticker.nowMs() : 0;
	}

	private void earn(double earned) {
		this.tokens = Math.min(this.reserve, this.tokens + earned);
	}

}
