package io.whinjunction.router;

import java.util.HashSet;
import java.util.Set;

import io.whinjunction.forward.AttemptOutcome;
import io.whinjunction.forward.RetryDecision;
import io.whinjunction.forward.RetryPolicy;

/**
 * What became of the attempts of one request so far.
 * <p>
 * Invariants: what may have run once may have run for good; an upstream that made the
 * request fail stays among those that did. Confined to the event loop.
 */
final class AttemptHistory {

	private final Set<String> failedAt = new HashSet<>();

	private final Set<String> sentTo = new HashSet<>();

	private int sent;

	private int notSent;

	private boolean mayHaveRun;

	/**
	 * The request was handed to an upstream.
	 * @param incarnation the upstream
	 */
	void sentTo(String incarnation) {
		this.sent++;
		this.sentTo.add(incarnation);
	}

	/** An attempt ended before anything was handed over. */
	void notSentOnce() {
		this.notSent++;
	}

	/**
	 * An upstream made the request fail.
	 * @param incarnation the upstream
	 */
	void failedAt(String incarnation) {
		this.failedAt.add(incarnation);
	}

	/**
	 * An attempt ended.
	 * @param end how
	 */
	void ended(AttemptOutcome end) {
		this.mayHaveRun |= end instanceof AttemptOutcome.Unknown || end instanceof AttemptOutcome.Failed;
	}

	/**
	 * Upstreams that made the request fail.
	 * @return their incarnations; a live view
	 */
	Set<String> failedAt() {
		return this.failedAt;
	}

	/**
	 * Upstreams that have had the request.
	 * @return their incarnations; a live view
	 */
	Set<String> sentTo() {
		return this.sentTo;
	}

	int sent() {
		return this.sent;
	}

	int notSent() {
		return this.notSent;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * What the caller may be told where nothing more is tried.
	 * @param underWay whether an upstream has the request now
	 * @return a refusal only where nothing can have run
	 */
	RetryDecision givenUp(boolean underWay) {
		return (this.mayHaveRun || underWay) ? new RetryDecision.Fail() : new RetryDecision.Refuse();
	}

	/**
	 * What decides whether the request may be sent again.
	 * @return the counts
	 */
	RetryPolicy.History forRetry() {
		return new RetryPolicy.History(this.sent, this.notSent, this.mayHaveRun);
	}

}
