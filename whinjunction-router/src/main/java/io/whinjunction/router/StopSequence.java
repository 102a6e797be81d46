package io.whinjunction.router;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * The steps from the stop signal to the exit of the process.
 * <p>
 * Guards against requests that fail because they are still sent to a stopping process:
 * the balancer takes a process out only after two unsuccessful readiness checks, and
 * callers send on kept connections until they learn that these are closed. So the process
 * reports at once that it is not ready, serves the requests that complete in time, and
 * closes each connection with a response. Then it rejects requests, then it accepts no
 * more connections, and it exits when nothing is in progress or the grace period is
 * nearly over. Callers that still wait for the beginning of a response then receive one
 * that says so. Confined to the event loop.
 */
final class StopSequence {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The interval between two checks, in milliseconds; a stop takes up to this much
	 * longer.
	 */
	private static final long CHECK_INTERVAL_MS = 100;

	private final RouterContext router;

	private final StopSchedule schedule;

	private final Runnable stopAccepting;

	private final Runnable stopped;

	private boolean accepting = true;

	/**
	 * Creates a sequence that has not started.
	 * @param router the stopping router
	 * @param schedule the times of the steps
	 * @param stopAccepting stops listening for callers
	 * @param stopped is run when the process may exit
	 */
	StopSequence(RouterContext router, StopSchedule schedule, Runnable stopAccepting, Runnable stopped) {
		this.router = router;
		this.schedule = schedule;
		this.stopAccepting = stopAccepting;
		this.stopped = stopped;
	}

	void start() {
		this.router.loop().schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void check() {
		long nowMs = this.router.bootMs();
		List<CallerConnection> busy = this.router.callers().stream().filter(CallerConnection::busy).toList();
		if (!this.schedule.takesConnections(nowMs)) {
			stopAcceptingOnce();
			Set.copyOf(this.router.callers()).forEach(CallerConnection::closeIfIdle);
			if (busy.isEmpty() || this.schedule.over(nowMs)) {
				finish(busy, nowMs);
				return;
			}
		}
		start();
	}

	private void finish(List<CallerConnection> busy, long nowMs) {
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
			// The remaining callers must still be notified, and the process must exit.
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
