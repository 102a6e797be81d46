package io.whinjunction.router;

/**
 * What this process knows of one upstream besides the list: its own work there, and
 * whether to leave it alone for a while. Confined to the event loop.
 */
final class UpstreamState {

	/** Kept, since each choice of a path looks engines up by it several times. */
	private final String incarnation;

	private Upstream upstream;

	private int requests;

	private long tokenLayers;

	private long unreadTokens;

	private long avoidedUntilMs = Long.MIN_VALUE;

	UpstreamState(Upstream upstream) {
		this.upstream = upstream;
		this.incarnation = upstream.incarnation();
	}

	Upstream upstream() {
		return this.upstream;
	}

	/**
	 * Names the start of the upstream that this is known of.
	 * @return {@link Upstream#incarnation()}, the same for the life of this object
	 */
	String incarnation() {
		return this.incarnation;
	}

	/**
	 * Takes a newer entry of the same start.
	 * @param newer the entry
	 */
	void update(Upstream newer) {
		this.upstream = newer;
	}

	int requests() {
		return this.requests;
	}

	/**
	 * Memory that this process's requests are expected to take up.
	 * @return tokens times the layers that they run there
	 */
	long tokenLayers() {
		return this.tokenLayers;
	}

	void began(long tokenLayers) {
		this.requests++;
		this.tokenLayers += tokenLayers;
	}

	void ended(long tokenLayers) {
		this.requests--;
		this.tokenLayers -= tokenLayers;
	}

	/**
	 * Prompt tokens of this process's requests that have no event yet.
	 * @return tokens that the upstream has still to read, or reads
	 */
	long unreadTokens() {
		return this.unreadTokens;
	}

	void readingBegan(long promptTokens) {
		this.unreadTokens += promptTokens;
	}

	void readingEnded(long promptTokens) {
		this.unreadTokens -= promptTokens;
	}

	void avoidUntil(long untilMs) {
		this.avoidedUntilMs = untilMs;
	}

	boolean avoided(long nowMs) {
		return nowMs < this.avoidedUntilMs;
	}

}
