package io.whinjunction.router;

/**
 * What this process knows of one upstream besides the list: its own work there, and
 * whether to leave it alone for a while. Confined to the event loop.
 */
final class UpstreamState {

	private Upstream upstream;

	private int requests;

	private long tokens;

	private long avoidedUntilMs = Long.MIN_VALUE;

	UpstreamState(Upstream upstream) {
		this.upstream = upstream;
	}

	Upstream upstream() {
		return this.upstream;
	}

	void update(Upstream newer) {
		this.upstream = newer;
	}

	int requests() {
		return this.requests;
	}

	long tokens() {
		return this.tokens;
	}

	void began(long tokens) {
		this.requests++;
		this.tokens += tokens;
	}

	void ended(long tokens) {
		this.requests--;
		this.tokens -= tokens;
	}

	void avoidUntil(long untilMs) {
		this.avoidedUntilMs = untilMs;
	}

	boolean avoided(long nowMs) {
		return nowMs < this.avoidedUntilMs;
	}

}
