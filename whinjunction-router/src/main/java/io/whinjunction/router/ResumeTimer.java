package io.whinjunction.router;

import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.forward.ResumePauses;
import io.whinjunction.forward.RetryObstacle;

/**
 * Lets one stream that has begun wait until it is resumed.
 * <p>
 * Invariant: at most one wait is under way; none after {@link #close()}. Confined to the
 * event loop.
 */
final class ResumeTimer {

	private final RouterContext router;

	private final ResumePauses pauses;

	/** {@code null} while the stream does not wait. */
	private ScheduledFuture<?> wait;

	private boolean closed;

	/**
	 * Creates a timer without a wait.
	 * @param router the event loop
	 */
	ResumeTimer(RouterContext router) {
		this.router = router;
		this.pauses = new ResumePauses(router.random());
	}

	/**
	 * Starts a wait.
	 * @param obstacle what prevents the stream from being resumed now
	 * @param onOver is run when it is over
	 */
	void start(RetryObstacle obstacle, Runnable onOver) {
		if (this.closed || this.wait != null) {
			return;
		}
		this.wait = this.router.loop().schedule(() -> {
			this.wait = null;
			onOver.run();
		}, this.pauses.nextMs(obstacle), TimeUnit.MILLISECONDS);
	}

	/** Starts again with short waits, because the stream made progress. */
	void progressed() {
		this.pauses.reset();
	}

	boolean waiting() {
		return this.wait != null;
	}

	/** Cancels the wait. */
	void close() {
		this.closed = true;
		if (this.wait != null) {
			this.wait.cancel(false);
			this.wait = null;
		}
	}

}
