package io.whinjunction.forward;

import java.util.Optional;

import io.whinjunction.routing.Route;

/**
 * Decides whether a request is sent to another upstream.
 * <p>
 * Invariants: a request that may have run is only repeated if its route allows it; a
 * refusal is only chosen if no upstream can have run the request, in this attempt or an
 * earlier one; no request is sent to more upstreams than its route allows: once
 * {@link #onlyTriedUpstreams} returns {@code true}, the caller of this class chooses
 * among those already tried; an answer that has begun and can be resumed is ended only
 * when the caller's time is over, since there is no truthful refusal left. Stateless.
 */
public final class RetryPolicy {

	/**
	 * Minimum time left for another attempt, in milliseconds: connecting and one step of
	 * the slowest engines take about as long.
	 */
	public static final long MIN_ATTEMPT_MS = 40;

	/**
	 * Attempts that reached no upstream, and so caused no load, are bounded too.
	 * Otherwise a request would try unreachable upstreams one after another until its
	 * deadline.
	 */
	private static final int MAX_NOT_SENT = 4;

	/**
	 * A route bounds the number of upstreams that a request may reach, not the number of
	 * sends: a chain that begins at the same engine may bypass the engine that made it
	 * fail. A request that upstreams answered with a failure gets no more than the
	 * route's attempts: of 50 such requests, 7 stayed failed with two sends and 7 with
	 * three.
	 */
	private static final int EXTRA_SENDS = 1;

	private RetryPolicy() {
	}

	/**
	 * Decides what follows an attempt.
	 * @param route the route of the request
	 * @param outcome the outcome of the attempt
	 * @param history the earlier attempts
	 * @param leftMs the time left, in milliseconds
	 * @param grants acquires what the attempt needs; queried last, so that nothing is
	 * taken without being used
	 * @return the decision
	 */
	public static RetryDecision next(Route route, AttemptOutcome outcome, History history, long leftMs, Grants grants) {
		boolean mayHaveRun = history.mayHaveRun() || outcome instanceof AttemptOutcome.Unknown
				|| outcome instanceof AttemptOutcome.Failed;
		if (mayHaveRun && !route.repeatable()) {
			return new RetryDecision.Fail(RetryObstacle.NOT_REPEATABLE);
		}
		if (leftMs < MIN_ATTEMPT_MS) {
			return end(mayHaveRun, RetryObstacle.NO_TIME);
		}
		if (history.answerBegun()) {
			return history.progressed() ? resume(leftMs, grants) : new RetryDecision.Wait(RetryObstacle.NO_PROGRESS);
		}
		if (!countsAllow(route, outcome, history)) {
			return end(mayHaveRun, RetryObstacle.SENDS_USED);
		}
		// If nothing was sent before, the next send is the request's first arrival
		// and not a retry.
		boolean repeat = !(outcome instanceof AttemptOutcome.NotSent) || history.sent() > 0;
		return grants.acquire(repeat).map((obstacle) -> end(mayHaveRun, obstacle)).orElseGet(RetryDecision.Retry::new);
	}

	/**
	 * Decides whether an answer that has begun can be resumed now. Its sends are bounded
	 * by the retry budget and the pauses between them, not by a count.
	 * @param leftMs the time left, in milliseconds
	 * @param grants acquires what the attempt needs
	 * @return the decision; never a refusal
	 */
	public static RetryDecision resume(long leftMs, Grants grants) {
		if (leftMs < MIN_ATTEMPT_MS) {
			return new RetryDecision.Fail(RetryObstacle.NO_TIME);
		}
		Optional<RetryObstacle> obstacle = grants.acquire(true);
		if (obstacle.isEmpty()) {
			return new RetryDecision.Retry();
		}
		return obstacle.get().temporary() ? new RetryDecision.Wait(obstacle.get())
				: new RetryDecision.Fail(obstacle.get());
	}

	private static RetryDecision end(boolean mayHaveRun, RetryObstacle obstacle) {
		return mayHaveRun ? new RetryDecision.Fail(obstacle) : new RetryDecision.Refuse(obstacle);
	}

	/**
	 * Returns whether the next attempt has to go to an upstream that was already tried.
	 * @param route the route of the request
	 * @param upstreams the number of upstreams that the request was sent to
	 * @return {@code true} if the route allows no further upstream
	 */
	public static boolean onlyTriedUpstreams(Route route, int upstreams) {
		return upstreams >= route.limits().maxAttempts();
	}

	private static boolean countsAllow(Route route, AttemptOutcome outcome, History history) {
		if (outcome instanceof AttemptOutcome.NotSent) {
			return history.notSent() < MAX_NOT_SENT;
		}
		int maxSends = route.limits().maxAttempts();
		// A route that allows one upstream gets no second attempt at all.
		boolean more = maxSends > 1 && !(outcome instanceof AttemptOutcome.Failed);
		return history.sent() + history.sentBefore() < (more ? maxSends + EXTRA_SENDS : maxSends);
	}

	/** Grants what an attempt needs. */
	@FunctionalInterface
	public interface Grants {

		/**
		 * Acquires an upstream and, for a repeat, one retry of the budget, or nothing.
		 * @param repeat whether the attempt counts against the retry budget
		 * @return what prevents the attempt; empty if all that it needs was acquired
		 */
		Optional<RetryObstacle> acquire(boolean repeat);

	}

	/**
	 * Earlier attempts of a request. Immutable.
	 *
	 * @param sent how often it was sent, the last attempt included
	 * @param sentBefore how often the router that has the caller had it sent before it
	 * was handed to this one
	 * @param notSent how often an attempt reached no upstream, the last attempt included
	 * @param mayHaveRun whether an earlier attempt may have run
	 * @param answerBegun whether a part of the answer was passed on to the caller
	 * @param progressed whether the last attempt sent a part of the answer, or found that
	 * an upstream has ended
	 */
	public record History(int sent, int sentBefore, int notSent, boolean mayHaveRun, boolean answerBegun,
			boolean progressed) {
	}

}
