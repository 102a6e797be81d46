package io.whinjunction.router;

import java.util.HashMap;
import java.util.Map;

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
	 * such cut weighs no more than twenty refusals, each of which delays a first event by
	 * 170 ms. Over six emulated days with three routers stopped ten seconds apart, 15
	 * streams were cut where 33 had been, 6 of them taken after the signal; 12 requests
	 * were late where 13 had been, and none was refused for good.
	 */
	private static final double MOST_CUT = 0.05;

	/** The most of what must not be repeated: its caller would never know what ran. */
	private static final double MOST_CUT_FOR_GOOD = 0.01;

	private final Map<String, RecentDurations> byService = new HashMap<>();

	/**
	 * A request was answered as a whole.
	 * @param service its service
	 * @param tookMs how long it took, in milliseconds
	 */
	void answered(String service, long tookMs) {
		this.byService.computeIfAbsent(service, (ignored) -> new RecentDurations()).add(tookMs);
	}

	/**
	 * Judges an attempt that would begin now.
	 * @param schedule the stop
	 * @param nowMs the time, on the stop's clock
	 * @param service the service of the request
	 * @param repeatable whether it may be repeated by its caller
	 * @param inProgressMs how long the service's requests in progress have taken so far,
	 * in milliseconds
	 * @param others the other processes
	 * @return the judgement
	 */
	Judgement judge(StopSchedule schedule, long nowMs, String service, boolean repeatable, long[] inProgressMs,
			PeerTable.Others others) {
		long leftMs = schedule.leftMs(nowMs);
		RecentDurations durations = this.byService.get(service);
		boolean known = durations != null && durations.known();
		double outliving = known ? durations.partOver(leftMs, inProgressMs) : -1;
		boolean inTime = schedule.servesRequests(nowMs);
		boolean ends = known ? outliving <= (repeatable ? MOST_CUT : MOST_CUT_FOR_GOOD) : inTime;
		boolean begins = ends || (inTime && !others.suffice());
		return new Judgement(begins, schedule.ageMs(nowMs), leftMs, outliving, others);
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
