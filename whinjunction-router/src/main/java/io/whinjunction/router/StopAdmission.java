package io.whinjunction.router;

import java.util.HashMap;
import java.util.Map;

import io.whinjunction.routing.RequestKind;
import io.whinjunction.routing.Route;
import io.whinjunction.routing.RoutedService;

/**
 * Decides whether a process that was told to stop still begins an attempt.
 * <p>
 * The load it answers: every process of a deployment is stopped in turn, and the balancer
 * goes on sending to those that stop. Drafts don't say how long they will be: half take 2
 * s, one in twenty takes 6 to 7 s, and what a process began by the time since its signal
 * alone was cut at the end of its grace. So it asks how many of its recent requests would
 * have outlived it. Where the caller finds another process, a refusal costs it some 170
 * ms; where it may find none, a draft that may be cut and goes on later is better than
 * none.
 * <p>
 * Confined to the event loop.
 */
final class StopAdmission {

	/**
	 * The most of what may be repeated that is cut: its caller goes on elsewhere, and one
	 * such cut weighs no more than twenty refusals, each of which delays a first event.
	 */
	private static final double MOST_OUTLIVING = 0.05;

	/** The most of what must not be repeated: its caller would never know what ran. */
	private static final double MOST_OUTLIVING_FOR_GOOD = 0.01;

	/**
	 * With less than this left nothing begins, however short it usually is, in
	 * milliseconds: of uploads that usually took 89 ms, one in a hundred took 344 ms on a
	 * day with every router stopped in turn.
	 */
	private static final long LEAST_LEFT_MS = 1000;

	private final Map<Family, RecentDurations> byFamily = new HashMap<>();

	/**
	 * A request was answered as a whole.
	 * @param family the requests that it belongs to
	 * @param tookMs how long it took, in milliseconds
	 */
	void answered(Family family, long tookMs) {
		this.byFamily.computeIfAbsent(family, (ignored) -> new RecentDurations()).add(tookMs);
	}

	/**
	 * Judges an attempt that would begin now.
	 * @param schedule the stop
	 * @param nowMs the time, on the stop's clock
	 * @param candidate the attempt
	 * @param inProgressMs how long the family's requests in progress have taken so far,
	 * in milliseconds
	 * @param others the other processes
	 * @return the judgement
	 */
	Judgement judge(StopSchedule schedule, long nowMs, Candidate candidate, long[] inProgressMs,
			PeerTable.Others others) {
		long leftMs = schedule.leftMs(nowMs);
		double mostOutliving = candidate.repeatable() ? MOST_OUTLIVING : MOST_OUTLIVING_FOR_GOOD;
		RecentDurations durations = this.byFamily.get(candidate.family());
		boolean known = durations != null && durations.canEstimate(MOST_OUTLIVING);
		double outliving = known ? durations.ratioLongerThan(leftMs, inProgressMs) : -1;
		boolean inTime = schedule.servesRequests(nowMs);
		boolean endedInTime = candidate.longestMs() <= leftMs;
		// What was seen may speak against an attempt, and be too little to speak for a
		// late one.
		boolean knownWell = known && durations.canEstimate(mostOutliving) && leftMs >= LEAST_LEFT_MS;
		boolean likelyEnds = (inTime || knownWell) && outliving <= mostOutliving;
		boolean ratherCut = inTime || (candidate.again() && candidate.repeatable());
		boolean hasNowhereElse = candidate.resumed() || !others.suffice();
		boolean begins = endedInTime || likelyEnds || (ratherCut && hasNowhereElse);
		return new Judgement(begins, schedule.ageMs(nowMs), leftMs, outliving, others);
	}

	/**
	 * An attempt that would begin. Immutable.
	 *
	 * @param family the requests that it belongs to
	 * @param repeatable whether its caller may repeat it
	 * @param again whether the request was taken and tried before
	 * @param resumed whether its caller goes on with a stream that broke off: it has come
	 * back once, and is not sent away again for what may happen
	 * @param longestMs after how long its answer is ended in any case, in milliseconds;
	 * {@link Long#MAX_VALUE} for a stream
	 */
	record Candidate(Family family, boolean repeatable, boolean again, boolean resumed, long longestMs) {
	}

	/**
	 * Requests that take about as long: an action's duration must not be taken for that
	 * of the status checks which the same service answers. Immutable.
	 *
	 * @param service the service's name
	 * @param kind the kind of the route
	 */
	record Family(String service, RequestKind kind) {

		static Family of(Route route, RoutedService service) {
			return new Family(service.name(), route.kind());
		}

	}

	/**
	 * Whether an attempt begins, and what decided. Immutable.
	 *
	 * @param begins whether it does
	 * @param ageMs how long ago the signal came, in milliseconds
	 * @param leftMs how long the attempt would have, in milliseconds
	 * @param outliving the part of recent requests that took longer; -1 where too few are
	 * known
	 * @param others the other processes
	 */
	record Judgement(boolean begins, long ageMs, long leftMs, double outliving, PeerTable.Others others) {
	}

}
