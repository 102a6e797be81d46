package io.whinjunction.router;

/**
 * The state that this process tracks for one upstream in addition to its list entry: its
 * own work there, and whether the upstream is currently avoided. Confined to the event
 * loop.
 */
final class UpstreamState {

	/** Cached, since each choice of a path looks up engines by it several times. */
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
	 * Returns the incarnation of the upstream that this state belongs to.
	 * @return {@link Upstream#incarnation()}, constant for the life of this object
	 */
	String incarnation() {
		return this.incarnation;
	}

	/**
	 * Replaces the list entry by a newer one of the same incarnation.
	 * @param newer the new entry
	 */
	void update(Upstream newer) {
		this.upstream = newer;
	}

	int requests() {
		return this.requests;
	}

	/**
	 * Returns the memory that this process's requests are expected to take up.
	 * @return tokens times the layers that are run for them there
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
	 * Returns the prompt tokens of this process's requests that have no event yet.
	 * @return tokens that the upstream is reading or still has to read
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
