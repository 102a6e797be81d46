package io.whinjunction.bench;

import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * A stream on emulated chains. Confined to one thread.
 */
final class EmulatedStream {

	private final int tokensPerEvent;

	private final String domain;

	private final int router;

	private final int prompt;

	private final double startedMs;

	private List<Hop> path = List.of();

	private int attempt;

	private int left;

	private int made;

	private int unreadTokens;

	/** Prompt tokens that the engine at which it is has read. */
	private int readHere;

	private int events;

	private double firstEventMs = Double.NaN;

	private double lastEventMs;

	private double longestPauseMs;

	private boolean failed;

	EmulatedStream(String domain, int router, int prompt, int answer, int tokensPerEvent, double startedMs) {
		this.tokensPerEvent = tokensPerEvent;
		this.domain = domain;
		this.router = router;
		this.prompt = prompt;
		this.left = answer;
		this.startedMs = startedMs;
	}

	int tokens() {
		return this.prompt + this.made + this.left;
	}

	void startAttempt(List<Hop> chosen) {
		this.path = chosen;
		this.attempt++;
		this.unreadTokens = this.prompt + this.made;
		this.readHere = 0;
	}

	void token(double nowMs) {
		this.unreadTokens = 0;
		this.made++;
		this.left--;
		if (this.made % this.tokensPerEvent != 0 && this.left > 0) {
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
		return this.left <= 0 && !this.failed;
	}

	boolean inProgress() {
		return this.left > 0 && !this.failed;
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
	 * Reads on at the engine where the stream is.
	 * @param mostTokens how many prompt tokens at most
	 * @return how many were read
	 */
	int read(int mostTokens) {
		int read = Math.min(this.unreadTokens - this.readHere, mostTokens);
		this.readHere += read;
		return read;
	}

	/**
	 * Whether the engine where the stream is has read all of its prompt; if so, the next
	 * one begins anew.
	 * @return whether the stream goes on
	 */
	boolean endReadIfComplete() {
		boolean whole = this.readHere >= this.unreadTokens;
		this.readHere = whole ? 0 : this.readHere;
		return whole;
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
