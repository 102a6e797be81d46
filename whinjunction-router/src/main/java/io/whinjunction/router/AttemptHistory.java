package io.whinjunction.router;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

import io.whinjunction.forward.AttemptOutcome;
import io.whinjunction.forward.RetryPolicy;

/**
 * Outcomes of the attempts of one request so far.
 * <p>
 * Invariants: once the request may have run, that stays so; an upstream that made the
 * request fail stays in the set of those that did. Confined to the event loop.
 */
final class AttemptHistory {

	private final Set<String> failedAt = new HashSet<>();

	private final Set<String> sentTo = new HashSet<>();

	private final Set<String> mayHaveRunAt = new HashSet<>();

	private final Set<String> ranAt = new LinkedHashSet<>();

	private int sent;

	private int sentBefore;

	private int notSent;

	private boolean mayHaveRun;

	/**
	 * Records that the request was sent to an upstream.
	 * @param incarnation the upstream
	 */
	void recordSent(String incarnation) {
		this.sent++;
		this.sentTo.add(incarnation);
	}

	/**
	 * Records what the router that has the caller knows of the request.
	 * @param incarnations the upstreams that may run it
	 * @param sends how often it was sent to upstreams
	 */
	void recordBefore(Collection<String> incarnations, int sends) {
		this.sentBefore = sends;
		this.sentTo.addAll(incarnations);
		this.mayHaveRunAt.addAll(incarnations);
	}

	/**
	 * Records that a relay has sent the request.
	 * @param incarnations the upstreams that it was sent to
	 * @param sends how often it was sent
	 */
	void recordRelayed(Collection<String> incarnations, int sends) {
		this.sent += sends;
		this.sentTo.addAll(incarnations);
	}

	/** Records an attempt that ended before anything was sent. */
	void recordNotSent() {
		this.notSent++;
	}

	/**
	 * Records that an upstream's instance refused a connection.
	 * @param incarnation the upstream
	 * @return whether it had not made the request fail before
	 */
	boolean recordRefused(String incarnation) {
		return this.failedAt.add(incarnation);
	}

	/**
	 * Records that an upstream made the request fail.
	 * @param incarnation the upstream
	 */
	void recordFailure(String incarnation) {
		this.failedAt.add(incarnation);
	}

	/**
	 * Records the end of an attempt.
	 * @param incarnations the upstreams that it was sent to
	 * @param end how it ended
	 */
	void recordEnd(Collection<String> incarnations, AttemptOutcome end) {
		if (end instanceof AttemptOutcome.Unknown || end instanceof AttemptOutcome.Failed) {
			this.mayHaveRun = true;
			this.mayHaveRunAt.addAll(incarnations);
			this.ranAt.addAll(incarnations);
		}
	}

	/**
	 * Records that upstreams may have run the request, whatever became of it there.
	 * @param incarnations the upstreams
	 */
	void recordRan(Collection<String> incarnations) {
		this.ranAt.addAll(incarnations);
	}

	/**
	 * Returns all upstreams that may have run the request, also those that have ended
	 * since.
	 * @return their incarnations in order; a live view
	 */
	Set<String> ranAt() {
		return this.ranAt;
	}

	/**
	 * Returns the upstreams that made the request fail.
	 * @return their incarnations; a live view
	 */
	Set<String> failedAt() {
		return this.failedAt;
	}

	/**
	 * Returns the upstreams to which the request was sent.
	 * @return their incarnations; a live view
	 */
	Set<String> sentTo() {
		return this.sentTo;
	}

	/**
	 * Returns the upstreams that may have run the request, also for another router.
	 * @return their incarnations; a live view
	 */
	Set<String> mayHaveRunAt() {
		return this.mayHaveRunAt;
	}

	int sent() {
		return this.sent;
	}

	/**
	 * Returns how often the request was sent to upstreams, by any router.
	 * @return the count
	 */
	int sentAltogether() {
		return this.sentBefore + this.sent;
	}

	int notSent() {
		return this.notSent;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns the values by which the retry policy decides.
	 * @param answerBegun whether a part of the answer was passed on to the caller
	 * @param progressed whether the last attempt sent a part of the answer, or found that
	 * an upstream has ended
	 * @return the values
	 */
	RetryPolicy.History forRetry(boolean answerBegun, boolean progressed) {
		return new RetryPolicy.History(this.sent, this.sentBefore, this.notSent, this.mayHaveRun, answerBegun,
				progressed);
	}

}
