package io.whinjunction.router;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * The steps from the signal to the end of the process.
 * <p>
 * The failure it is there for: the balancer takes a process out only after two questions
 * that got no yes, and callers send on kept connections until they hear of the end. So
 * the process says at once that it is not ready, serves on, ends each connection with an
 * answer, then takes no more, and leaves when nothing is in progress or its grace is
 * nearly over. Confined to the event loop.
 */
final class StopSequence {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long new requests are still served, in milliseconds: two questions of the
	 * balancer a second apart, and a second for what was on its way.
	 */
	private static final long SERVE_ON_MS = 3300;

	/** What is left of the grace for the process itself to end, in milliseconds. */
	private static final long MARGIN_MS = 500;

	private static final long LOOK_MS = 100;

	private final RouterContext router;

	private final long graceMs;

	private final Runnable stopAccepting;

	private final Runnable stopped;

	private final long sinceMs;

	private boolean accepting = true;

	/**
	 * A sequence.
	 * @param router what stops
	 * @param graceMs how long it may take, in milliseconds
	 * @param stopAccepting ends the listening for callers
	 * @param stopped is run when the process may end
	 */
	StopSequence(RouterContext router, long graceMs, Runnable stopAccepting, Runnable stopped) {
		this.router = router;
		this.graceMs = graceMs;
		this.stopAccepting = stopAccepting;
		this.stopped = stopped;
		this.sinceMs = router.nowMs();
	}

	void start() {
		this.router.loop().schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
	}

	private void look() {
		long passedMs = this.router.nowMs() - this.sinceMs;
		long busy = this.router.callers().stream().filter(CallerConnection::busy).count();
		if (passedMs >= Math.min(SERVE_ON_MS, this.graceMs / 2)) {
			stopAcceptingOnce();
			Set.copyOf(this.router.callers()).forEach(CallerConnection::closeIfIdle);
			if (busy == 0 || passedMs >= this.graceMs - MARGIN_MS) {
				logger.atInfo().log("event=stopped cut=%d took-ms=%d", busy, passedMs);
				this.stopped.run();
				return;
			}
		}
		start();
	}

	private void stopAcceptingOnce() {
		// A balancer that has no other process to send to goes on with this one; what
		// came
		// in the last second of the grace was cut in the middle of its answer.
		if (this.accepting) {
			this.accepting = false;
			this.stopAccepting.run();
		}
	}

}
