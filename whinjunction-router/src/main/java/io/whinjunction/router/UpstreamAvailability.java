package io.whinjunction.router;

import java.util.Collection;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.availability.RequestedBackoffs;
import io.whinjunction.availability.UpstreamNotice;

/**
 * Applies what upstreams state about themselves in their answers to requests, status
 * queries and orders.
 * <p>
 * Invariants: an upstream that stated that it leaves gets no new requests, however long
 * the list shows it as ready. Until the end of the backoff that an upstream requested,
 * this router sends it nothing; a path of engines that begins elsewhere passes through it
 * only if there is no other path. An upstream requests a backoff from one router, so it
 * is not reported to peers. Confined to the event loop.
 */
final class UpstreamAvailability {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final RouterContext router;

	private final Runnable leavingListener;

	private final RequestedBackoffs backoffs = new RequestedBackoffs();

	/**
	 * Creates a table without backoffs.
	 * @param router the clock and the directory
	 * @param leavingListener is run when an upstream is found to leave
	 */
	UpstreamAvailability(RouterContext router, Runnable leavingListener) {
		this.router = router;
		this.leavingListener = leavingListener;
	}

	/**
	 * Processes the head of any answer of an upstream.
	 * @param upstream the upstream that was called
	 * @param status the status of the answer
	 * @param notice what the upstream states about itself
	 */
	void answered(Upstream upstream, int status, UpstreamNotice notice) {
		if (notice.leaving() && this.router.directory().markLeaving(upstream.incarnation())) {
			logger.atInfo()
				.log("event=upstream-leaving upstream=%s address=%s status=%d", upstream.incarnation(),
						upstream.address(), status);
			this.leavingListener.run();
		}
		long backoffMs = notice.backoffMs(status);
		if (this.backoffs.request(upstream.incarnation(), backoffMs, this.router.nowMs())) {
			logger.atInfo()
				.log("event=upstream-backoff upstream=%s address=%s backoff-ms=%d", upstream.incarnation(),
						upstream.address(), backoffMs);
		}
	}

	/**
	 * Returns whether an upstream requested not to be called now.
	 * @param upstream the incarnation of the upstream
	 * @return {@code true} until the backoff ends
	 */
	boolean backingOff(String upstream) {
		// Nearly always there is none, and each choice of a path asks for each engine.
		return this.backoffs.count() > 0 && this.backoffs.active(upstream, this.router.nowMs());
	}

	/**
	 * Returns when the first of several upstreams may be called.
	 * @param upstreams the upstreams
	 * @return milliseconds from now; 0 if one may be called now, or there is none
	 */
	long backoffMs(Collection<UpstreamState> upstreams) {
		long nowMs = this.router.nowMs();
		return upstreams.stream()
			.mapToLong((state) -> this.backoffs.remainingMs(state.incarnation(), nowMs))
			.min()
			.orElse(0);
	}

	/** Drops the backoffs that are over. */
	void sweep() {
		this.backoffs.removeExpired(this.router.nowMs());
	}

	/**
	 * Returns the number of upstreams that requested not to be called now.
	 * @return the number as of the last sweep
	 */
	int backingOffCount() {
		return this.backoffs.count();
	}

}
