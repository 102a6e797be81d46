package io.whinjunction.forward;

import io.whinjunction.routing.Route;

/**
 * Decides whether a request goes to another upstream.
 * <p>
 * Invariants: a request that may have run is only repeated where its route allows it; a
 * refusal is only chosen where no upstream can have run the request, in this attempt or
 * an earlier one; no request is sent to more upstreams than its route allows, for which
 * {@link #onlyTriedOnes} tells the chooser when to stay with those. Stateless.
 */
public final class RetryPolicy {

	/**
	 * Less time than this is not worth another attempt, in milliseconds: connecting and
	 * one step of the slowest engines take about as long.
	 */
	public static final long LEAST_USEFUL_MS = 40;

	/**
	 * Attempts that reached nobody and so cost nobody anything are bounded too, or a
	 * request would turn over dead upstreams until its time is up.
	 */
	private static final int MOST_NOT_SENT = 4;

	/**
	 * A route bounds the upstreams that a request may reach, not the sends: a chain that
	 * begins at the same engine may go round the one that made it fail. A request that
	 * upstreams answered with a failure gets no more than the route's attempts: of 50, 7
	 * stayed failed with two sends and 7 with three.
	 */
	private static final int MORE_AT_TRIED = 1;

	private RetryPolicy() {
	}

	/**
	 * Decides.
	 * @param route the request's route
	 * @param end how the attempt ended
	 * @param history what came before
	 * @param leftMs the time left, in milliseconds
	 * @param budget grants repeats; asked last, so that nothing is taken in vain
	 * @return the next step
	 */
	public static RetryDecision next(Route route, AttemptOutcome end, History history, long leftMs, Budget budget) {
		boolean mayHaveRun = history.mayHaveRun() || end instanceof AttemptOutcome.Unknown
				|| end instanceof AttemptOutcome.Failed;
		boolean allowed = !mayHaveRun || route.repeatable();
		boolean useful = leftMs >= LEAST_USEFUL_MS;
		if (allowed && useful && countsAllow(route, end, history) && granted(end, history, budget)) {
			return new RetryDecision.Retry();
		}
		return mayHaveRun ? new RetryDecision.Fail() : new RetryDecision.Refuse();
	}

	/**
	 * Whether the next attempt has to go to an upstream that was tried before.
	 * @param route the request's route
	 * @param upstreams how many upstreams it was sent to
	 * @return {@code true} where the route allows no further upstream
	 */
	public static boolean onlyTriedOnes(Route route, int upstreams) {
		return upstreams >= route.limits().maxAttempts();
	}

	private static boolean countsAllow(Route route, AttemptOutcome end, History history) {
		if (end instanceof AttemptOutcome.NotSent) {
			return history.notSent() < MOST_NOT_SENT;
		}
		int most = route.limits().maxAttempts();
		// A route that allows one upstream wants no second attempt at all.
		boolean more = most > 1 && !(end instanceof AttemptOutcome.Failed);
		return history.sent() < (more ? most + MORE_AT_TRIED : most);
	}

	private static boolean granted(AttemptOutcome end, History history, Budget budget) {
		// The next send is the request's first arrival where nothing was sent before.
		return (end instanceof AttemptOutcome.NotSent && history.sent() == 0) || budget.tryRepeat();
	}

	/**
	 * Grants repeats.
	 */
	@FunctionalInterface
	public interface Budget {

		/**
		 * Asks for one repeat.
		 * @return whether it is granted
		 */
		boolean tryRepeat();

	}

	/**
	 * What a request has been through. Immutable.
	 *
	 * @param sent how often it was sent, the last attempt included
	 * @param notSent how often an attempt reached nobody, the last attempt included
	 * @param mayHaveRun whether an earlier attempt may have run
	 */
	public record History(int sent, int notSent, boolean mayHaveRun) {
	}

}
