package io.whinjunction.bench;

import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * Stream on emulated chains, with the times of its events. Confined to one thread.
 */
final class EmulatedStream {

	private final int tokensPerEvent;

	private final String domain;

	private final int router;

	private final int promptTokens;

	private final double startedMs;

	private List<Hop> path = List.of();

	private int attempt;

	private int remainingTokens;

	private int generatedTokens;

	/**
	 * Tokens that each engine of the path has to read before the next one is generated:
	 * the prompt, and after a failover the answer so far.
	 */
	private int unreadTokens;

	/** Number of {@link #unreadTokens} that the engine of the current hop has read. */
	private int tokensReadAtHop;

	private int events;

	private double firstEventMs = Double.NaN;

	private double lastEventMs;

	private double longestPauseMs;

	private boolean failed;

	EmulatedStream(String domain, int router, int promptTokens, int answerTokens, int tokensPerEvent,
			double startedMs) {
		this.tokensPerEvent = tokensPerEvent;
		this.domain = domain;
		this.router = router;
		this.promptTokens = promptTokens;
		this.remainingTokens = answerTokens;
		this.startedMs = startedMs;
	}

	int tokens() {
		return this.promptTokens + this.generatedTokens + this.remainingTokens;
	}

	void startAttempt(List<Hop> newPath) {
		this.path = newPath;
		this.attempt++;
		this.unreadTokens = this.promptTokens + this.generatedTokens;
		this.tokensReadAtHop = 0;
	}

	void token(double nowMs) {
		this.unreadTokens = 0;
		this.generatedTokens++;
		this.remainingTokens--;
		if (this.generatedTokens % this.tokensPerEvent != 0 && this.remainingTokens > 0) {
			return;
		}
		if (this.events == 0) {
			this.firstEventMs = nowMs - this.startedMs;
		}
		else {
			this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastEventMs);
		}
		this.events++;
		this.lastEventMs = nowMs;
	}

	boolean completed() {
		return this.remainingTokens <= 0 && !this.failed;
	}

	boolean inProgress() {
		return this.remainingTokens > 0 && !this.failed;
	}

	void fail() {
		this.failed = true;
	}

	boolean failed() {
		return this.failed;
	}

	String domain() {
		return this.domain;
	}

	int router() {
		return this.router;
	}

	List<Hop> path() {
		return this.path;
	}

	int attempt() {
		return this.attempt;
	}

	int unreadTokens() {
		return this.unreadTokens;
	}

	/**
	 * Continues to read tokens on the engine of the current hop.
	 * @param maxTokens the maximum number of tokens to read
	 * @return the number of tokens read
	 */
	int read(int maxTokens) {
		int read = Math.min(this.unreadTokens - this.tokensReadAtHop, maxTokens);
		this.tokensReadAtHop += read;
		return read;
	}

	/**
	 * Checks whether the engine of the current hop has read all tokens. If so, resets the
	 * count, so that the engine of the next hop reads them from the start.
	 * @return whether the stream continues with the next hop
	 */
	boolean endReadIfComplete() {
		boolean complete = this.tokensReadAtHop >= this.unreadTokens;
		this.tokensReadAtHop = complete ? 0 : this.tokensReadAtHop;
		return complete;
	}

	double startedMs() {
		return this.startedMs;
	}

	int events() {
		return this.events;
	}

	double firstEventMs() {
		return this.firstEventMs;
	}

	double lastEventMs() {
		return this.lastEventMs;
	}

	double longestPauseMs() {
		return this.longestPauseMs;
	}

}
