package io.whinjunction.router;

import io.whinjunction.chain.Hop;

/**
 * What one attempt counts for at the upstreams it goes to, so that others are chosen
 * while these are full.
 * <p>
 * Invariants: each {@link #began()} has one {@link #ended()}, which takes back what was
 * counted, also after the attempt was {@link #moved} to another path; the prompt counts
 * as unread at most once. An upstream that left meanwhile is passed over: its counts went
 * with it. Confined to the event loop.
 */
final class EngineLoad {

	private final UpstreamDirectory directory;

	private final int promptTokens;

	private final int expectedTokens;

	private Target target;

	/** Whether the prompt counts as unread at the engines of the path. */
	private boolean reading;

	/**
	 * The load of an attempt that counts for nothing yet.
	 * @param directory the upstreams
	 * @param target where the attempt goes
	 * @param promptTokens tokens that the engines have to read
	 * @param expectedTokens tokens that the request is expected to have at its end
	 */
	EngineLoad(UpstreamDirectory directory, Target target, int promptTokens, int expectedTokens) {
		this.directory = directory;
		this.target = target;
		this.promptTokens = promptTokens;
		this.expectedTokens = expectedTokens;
	}

	/** The request counts at the upstreams from now. */
	void began() {
		count(true);
	}

	/** The request doesn't count any more. */
	void ended() {
		count(false);
	}

	/**
	 * The request counts at another path. Its prompt must have been read, since unread
	 * tokens would later be taken back from the engines of the new path, which never had
	 * them.
	 * @param elsewhere the new path
	 */
	void moved(Target elsewhere) {
		count(false);
		this.target = elsewhere;
		count(true);
	}

	/** The engines of the path have the prompt to read. */
	void readingBegan() {
		countReading(true);
	}

	/** The first event came, or none will; does nothing where that was counted. */
	void readingEnded() {
		countReading(false);
	}

	private void countReading(boolean begins) {
		if (this.reading == begins) {
			return;
		}
		this.reading = begins;
		for (Hop hop : this.target.path()) {
			UpstreamState state = this.directory.find(hop.engine().id());
			if (state != null && begins) {
				state.readingBegan(this.promptTokens);
			}
			else if (state != null) {
				state.readingEnded(this.promptTokens);
			}
		}
	}

	private void count(boolean begins) {
		if (this.target.path().isEmpty()) {
			count(this.target.first().incarnation(), 0, begins);
		}
		long tokens = this.expectedTokens;
		for (Hop hop : this.target.path()) {
			count(hop.engine().id(), tokens * (hop.layers().end() - hop.layers().first()), begins);
		}
	}

	private void count(String upstreamId, long tokenLayers, boolean begins) {
		UpstreamState state = this.directory.find(upstreamId);
		if (state == null) {
			return;
		}
		if (begins) {
			state.began(tokenLayers);
		}
		else {
			state.ended(tokenLayers);
		}
	}

}
