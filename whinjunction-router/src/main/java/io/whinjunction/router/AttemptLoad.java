package io.whinjunction.router;

import io.whinjunction.chain.Hop;

/**
 * Accounts for the load of one attempt at the upstreams of its path, so that other
 * upstreams are preferred while these are full.
 * <p>
 * Invariants: each {@link #began()} is matched by one {@link #ended()}, which subtracts
 * exactly what was added, also after the attempt was {@link #moved} to another path. The
 * prompt is counted as unread at most once. An upstream that has been removed is skipped,
 * since its counts were removed with it. Confined to the event loop.
 */
final class AttemptLoad {

	private final UpstreamDirectory directory;

	private final int promptTokens;

	private final int expectedTokens;

	private Target target;

	/** Whether the prompt is counted as unread at the engines of the path. */
	private boolean reading;

	/**
	 * Creates the load of an attempt that is not counted yet.
	 * @param directory the upstreams
	 * @param target the target of the attempt
	 * @param promptTokens the number of prompt tokens that the engines have to read
	 * @param expectedTokens the number of tokens that the request is expected to have
	 * when it completes
	 */
	AttemptLoad(UpstreamDirectory directory, Target target, int promptTokens, int expectedTokens) {
		this.directory = directory;
		this.target = target;
		this.promptTokens = promptTokens;
		this.expectedTokens = expectedTokens;
	}

	/** Starts counting the request at the upstreams. */
	void began() {
		count(true);
	}

	/** Stops counting the request. */
	void ended() {
		count(false);
	}

	/**
	 * Counts the request at another path. The prompt must have been read: otherwise the
	 * unread tokens would later be subtracted from the engines of the new path, to which
	 * they were never added.
	 * @param newTarget the new path
	 */
	void moved(Target newTarget) {
		count(false);
		this.target = newTarget;
		count(true);
	}

	/** Counts the prompt as unread at the engines of the path. */
	void readingBegan() {
		countReading(true);
	}

	/**
	 * Stops counting the prompt as unread, because the first event arrived or none will.
	 * Does nothing if the prompt is not counted.
	 */
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
