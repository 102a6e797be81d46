package io.whinjunction.router;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * The steps from the signal to the end of the process.
 * <p>
 * The failure it is there for: the balancer takes a process out only after two questions
 * that got no yes, and callers send on kept connections until they hear of the end. So
 * the process says at once that it is not ready, serves what ends in time, ends each
 * connection with an answer, then refuses, then takes no more, and leaves when nothing is
 * in progress or its grace is nearly over; whoever still waits then for the beginning of
 * an answer is told so. Confined to the event loop.
 */
final class StopSequence {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between two looks, in milliseconds: what a stop takes longer for it. */
	private static final long LOOK_MS = 100;

	private final RouterContext router;

	private final StopSchedule schedule;

	private final Runnable stopAccepting;

	private final Runnable stopped;

	private boolean accepting = true;

	/**
	 * A sequence.
	 * @param router what stops
	 * @param schedule when what ends
	 * @param stopAccepting ends the listening for callers
	 * @param stopped is run when the process may end
	 */
	StopSequence(RouterContext router, StopSchedule schedule, Runnable stopAccepting, Runnable stopped) {
		this.router = router;
		this.schedule = schedule;
		this.stopAccepting = stopAccepting;
		this.stopped = stopped;
	}

	void start() {
		this.router.loop().schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
	}

	private void look() {
		long nowMs = this.router.bootMs();
		List<CallerConnection> busy = this.router.callers().stream().filter(CallerConnection::busy).toList();
		if (!this.schedule.takesConnections(nowMs)) {
			stopAcceptingOnce();
			Set.copyOf(this.router.callers()).forEach(CallerConnection::closeIfIdle);
			if (busy.isEmpty() || this.schedule.over(nowMs)) {
				end(busy, nowMs);
				return;
			}
		}
		start();
	}

	private void end(List<CallerConnection> busy, long nowMs) {
		try {
			long cut = busy.stream().filter(StopSequence::cut).count();
			logger.atInfo()
				.log("event=stopped cut=%d told=%d took-ms=%d", cut, busy.size() - cut, this.schedule.ageMs(nowMs));
		}
		finally {
			this.stopped.run();
		}
	}

	private static boolean cut(CallerConnection caller) {
		try {
			return caller.onRouterExit();
		}
		catch (RuntimeException ex) {
			// The others still have to be told, and the process to end.
			logger.atSevere().withCause(ex).log("event=end-failed");
			return true;
		}
	}

	private void stopAcceptingOnce() {
		if (this.accepting) {
			this.accepting = false;
			this.stopAccepting.run();
		}
	}

}
