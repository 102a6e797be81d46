package io.whinjunction.router;

/**
 * The state that this process tracks for one upstream in addition to its list entry: its
 * own work there, whether the upstream itself stated that it leaves, and whether it is
 * currently avoided. Confined to the event loop.
 */
final class UpstreamState {

	/** Cached, since each choice of a path looks up engines by it several times. */
	private final String incarnation;

	private Upstream upstream;

	private boolean statedLeaving;

	private int requests;

	private long tokenLayers;

	private long unreadTokens;

	private long avoidedUntilMs = Long.MIN_VALUE;

	/**
	 * Creates the state of an upstream without work.
	 * @param upstream its list entry
	 * @param statedLeaving whether this incarnation stated that it leaves
	 */
	UpstreamState(Upstream upstream, boolean statedLeaving) {
		this.upstream = upstream;
		this.incarnation = upstream.incarnation();
		this.statedLeaving = statedLeaving;
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
	 * Returns whether the upstream accepts no new requests.
	 * @return whether the list shows it as leaving, or it stated so itself
	 */
	boolean leaving() {
		return this.statedLeaving || this.upstream.leaving();
	}

	void stateLeaving() {
		this.statedLeaving = true;
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

	void addRequests(int change) {
		this.requests += change;
	}

	void addTokenLayers(long change) {
		this.tokenLayers += change;
	}

	/**
	 * Returns the prompt tokens of this process's requests that have no event yet.
	 * @return tokens that the upstream is reading or still has to read
	 */
	long unreadTokens() {
		return this.unreadTokens;
	}

	void addUnread(long changeTokens) {
		this.unreadTokens += changeTokens;
	}

	void avoidUntil(long untilMs) {
		this.avoidedUntilMs = untilMs;
	}

	boolean avoided(long nowMs) {
		return nowMs < this.avoidedUntilMs;
	}

}
