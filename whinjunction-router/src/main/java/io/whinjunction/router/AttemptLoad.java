package io.whinjunction.router;

import java.util.function.BiConsumer;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.Hop;
import io.whinjunction.chain.ModelProfile;

/**
 * Accounts for the load of one attempt at the upstreams of its path, so that other
 * upstreams are preferred while these are full.
 * <p>
 * Callers state how many tokens a request has. They count as memory in use only from when
 * the whole request is sent, as an engine begins nothing before, and only if all engines
 * of the path can hold them, as a larger request is rejected.
 * <p>
 * Invariants: each {@link #began} is matched by one {@link #ended()}, which subtracts
 * exactly what was added, also after the attempt was {@link #moved} to another path. The
 * prompt is counted as unread at most once. An upstream that has been removed is skipped,
 * since its counts were removed with it. Confined to the event loop.
 */
final class AttemptLoad {

	private final UpstreamDirectory directory;

	private final ModelProfile model;

	private final int promptTokens;

	private final int expectedTokens;

	private Target target;

	/** Whether the whole request is sent, so that its tokens count as memory in use. */
	private boolean whole;

	/** Whether the prompt is counted as unread at the engines of the path. */
	private boolean reading;

	/**
	 * Creates the load of an attempt that is not counted yet.
	 * @param directory the upstreams
	 * @param model the model of the engines; {@code null} if the target has no path
	 * @param target the target of the attempt
	 * @param promptTokens the number of prompt tokens that the engines have to read
	 * @param expectedTokens the number of tokens that the request is expected to have
	 * when it completes
	 */
	AttemptLoad(UpstreamDirectory directory, ModelProfile model, Target target, int promptTokens, int expectedTokens) {
		this.directory = directory;
		this.model = model;
		this.target = target;
		this.promptTokens = promptTokens;
		this.expectedTokens = expectedTokens;
	}

	/**
	 * Starts counting the request at the upstreams.
	 * @param bodyComplete whether its whole body can be sent
	 */
	void began(boolean bodyComplete) {
		this.whole = bodyComplete;
		count(1);
	}

	/** Counts the tokens as memory in use, as the whole request is sent. */
	void hold() {
		if (!this.whole) {
			this.whole = true;
			countTokens(1);
		}
	}

	/** Stops counting the request. */
	void ended() {
		count(-1);
	}

	/**
	 * Counts the request at another path. The prompt must have been read: otherwise the
	 * unread tokens would later be subtracted from the engines of the new path, to which
	 * they were never added.
	 * @param newTarget the new path
	 */
	void moved(Target newTarget) {
		count(-1);
		this.target = newTarget;
		count(1);
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
		if (this.reading != begins) {
			this.reading = begins;
			int change = begins ? this.promptTokens : -this.promptTokens;
			addAtEngines((state, hop) -> state.addUnread(change));
		}
	}

	private void count(int requests) {
		if (this.target.path().isEmpty()) {
			addRequests(this.target.first().incarnation(), requests);
		}
		this.target.path().forEach((hop) -> addRequests(hop.engine().id(), requests));
		if (this.whole) {
			countTokens(requests);
		}
	}

	private void addRequests(String upstreamId, int requests) {
		UpstreamState state = this.directory.find(upstreamId);
		if (state != null) {
			state.addRequests(requests);
		}
	}

	private void countTokens(long requests) {
		long tokens = requests * this.expectedTokens;
		addAtEngines((state, hop) -> state.addTokenLayers(tokens * (hop.layers().end() - hop.layers().first())));
	}

	// A path that can't hold the request rejects it.
	private void addAtEngines(BiConsumer<UpstreamState, Hop> addition) {
		if (!this.target.path().stream().map(Hop::engine).allMatch(this::fits)) {
			return;
		}
		for (Hop hop : this.target.path()) {
			UpstreamState state = this.directory.find(hop.engine().id());
			if (state != null) {
				addition.accept(state, hop);
			}
		}
	}

	private boolean fits(Engine engine) {
		return this.expectedTokens <= this.model.kvCapacityTokens(engine.kind(), engine.heldLayers());
	}

}
