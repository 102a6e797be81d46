package io.whinjunction.router;

import java.util.HashMap;
import java.util.Map;

import io.whinjunction.routing.RequestKind;
import io.whinjunction.routing.Route;
import io.whinjunction.routing.RoutedService;

/**
 * Decides whether a process that was ordered to stop still begins an attempt.
 * <p>
 * Load pattern: every process of a deployment is stopped in turn, and the balancer
 * continues to send to the processes that stop. The duration of a draft is not known in
 * advance: half of them take 2 s, one in twenty takes 6 to 7 s. When attempts were
 * admitted by the time since the signal alone, some were cut at the end of the grace
 * period. Therefore this class estimates the ratio of recent requests that would have
 * outlived the process. If the caller finds another process, a refusal costs it about 170
 * ms. If it may find none, a draft that may be cut and resumed later is better than none.
 * <p>
 * Confined to the event loop.
 */
final class StopAdmission {

	/**
	 * The maximum ratio of repeatable attempts that are cut. Their callers fail over, and
	 * one such cut is no worse than twenty refusals, each of which delays a first event.
	 */
	private static final double MAX_OUTLIVING_RATIO = 0.05;

	/**
	 * The maximum ratio of attempts cut that must not be repeated: their callers would
	 * never learn what was executed.
	 */
	private static final double MAX_OUTLIVING_RATIO_UNREPEATABLE = 0.01;

	/**
	 * The remaining time below which no attempt begins on the basis of recent durations,
	 * however short these are, in milliseconds: of uploads that usually took 89 ms, one
	 * in a hundred took 344 ms on a day on which every router was stopped in turn.
	 */
	private static final long MIN_LEFT_MS = 1000;

	private final Map<Family, RecentDurations> byFamily = new HashMap<>();

	/**
	 * Records the duration of a request that was answered completely.
	 * @param family the family of the request
	 * @param tookMs the duration, in milliseconds
	 */
	void answered(Family family, long tookMs) {
		this.byFamily.computeIfAbsent(family, (ignored) -> new RecentDurations()).add(tookMs);
	}

	/**
	 * Judges an attempt that would begin now.
	 * @param schedule the schedule of the stop
	 * @param nowMs the current time, on the clock of the schedule
	 * @param candidate the attempt
	 * @param inProgressMs how long each request of the family that is in progress has
	 * taken so far, in milliseconds
	 * @param others the peers
	 * @return the judgement
	 */
	Judgement judge(StopSchedule schedule, long nowMs, Candidate candidate, long[] inProgressMs,
			PeerTable.ReachablePeers others) {
		long leftMs = schedule.leftMs(nowMs);
		double maxOutliving = candidate.repeatable() ? MAX_OUTLIVING_RATIO : MAX_OUTLIVING_RATIO_UNREPEATABLE;
		RecentDurations durations = this.byFamily.get(candidate.family());
		boolean known = durations != null && durations.canEstimate(MAX_OUTLIVING_RATIO);
		double outliving = known ? durations.ratioLongerThan(leftMs, inProgressMs) : -1;
		boolean inTime = schedule.servesRequests(nowMs);
		boolean boundedInTime = candidate.longestMs() <= leftMs;
		// Recent durations may suffice to reject an attempt but not to admit a late
		// one.
		boolean knownWell = known && durations.canEstimate(maxOutliving) && leftMs >= MIN_LEFT_MS;
		boolean likelyCompletes = (inTime || knownWell) && outliving <= maxOutliving;
		boolean mayBeCut = inTime || (candidate.again() && candidate.repeatable());
		boolean hasNowhereElse = candidate.resumed() || !others.suffice();
		boolean begins = boundedInTime || likelyCompletes || (mayBeCut && hasNowhereElse);
		return new Judgement(begins, schedule.ageMs(nowMs), leftMs, outliving, others);
	}

	/**
	 * An attempt that would begin. Immutable.
	 *
	 * @param family the family of the request
	 * @param repeatable whether its caller may repeat it
	 * @param again whether the request was accepted and tried before
	 * @param resumed whether its caller resumes a stream that broke off: it has already
	 * had to reconnect once, and is not rejected because of a mere risk
	 * @param longestMs the time limit after which its response is ended in any case, in
	 * milliseconds; {@link Long#MAX_VALUE} for a stream
	 */
	record Candidate(Family family, boolean repeatable, boolean again, boolean resumed, long longestMs) {
	}

	/**
	 * Requests with similar durations. The kind of route is part of it, since the
	 * duration of an action must not be taken for that of the status checks of the same
	 * service. Immutable.
	 *
	 * @param service the name of the service
	 * @param kind the kind of the route
	 */
	record Family(String service, RequestKind kind) {

		static Family of(Route route, RoutedService service) {
			return new Family(service.name(), route.kind());
		}

	}

	/**
	 * The decision on an attempt, and what it was based on. Immutable.
	 *
	 * @param begins whether the attempt begins
	 * @param ageMs the time since the signal, in milliseconds
	 * @param leftMs the time that the attempt would have, in milliseconds
	 * @param outliving the ratio of recent requests that took longer than that; -1 if
	 * there are too few
	 * @param others the peers
	 */
	record Judgement(boolean begins, long ageMs, long leftMs, double outliving, PeerTable.ReachablePeers others) {
	}

}
