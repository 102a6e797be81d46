package io.whinjunction.router;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.CrashHistory;
import io.whinjunction.forward.CrashingRequests;
import io.whinjunction.forward.RequestFingerprint;

/**
 * This router's part in refusing requests that crash upstreams: what it saw itself goes
 * to {@link CrashingRequests} and to other routers, and what these say comes from there.
 * <p>
 * Invariant: what is told is put together at most once each {@link PeerLink#PERIOD_MS},
 * however many routers ask. Confined to the event loop.
 */
final class CrashGuard {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Crashes of one request that other routers hear of soon. */
	private static final int URGENT_CRASHES = CrashingRequests.MAX_CRASHES - 1;

	/**
	 * Crashes within this long are told together, in milliseconds: an upstream's end cuts
	 * many requests at once.
	 */
	private static final long GATHER_MS = 5;

	private final RouterContext router;

	private final Runnable tellNow;

	private final CrashingRequests requests = new CrashingRequests();

	private final CrashRecords records;

	private List<CrashHistory> told = List.of();

	private long toldAtMs = -PeerLink.PERIOD_MS;

	private boolean telling;

	/**
	 * A guard that has seen nothing yet.
	 * @param router the clock, the event loop and the other routers
	 * @param store where refused requests are recorded
	 * @param tellNow tells many other routers at once
	 */
	CrashGuard(RouterContext router, FleetStore store, Runnable tellNow) {
		this.router = router;
		this.records = new CrashRecords(router, store, this.requests);
		this.tellNow = tellNow;
	}

	CrashRecords records() {
		return this.records;
	}

	/** Sees to what follows from time alone: crashes count once they are settled. */
	void sweep() {
		if (refused() > 0) {
			giveUpRefused();
		}
		this.records.reconcile();
	}

	/**
	 * Whether a request has to be refused.
	 * @param requestId names it in the log
	 * @param fingerprint the request
	 * @return why, or empty where it may be sent
	 */
	Optional<CrashingRequests.Refusal> refusal(String requestId, RequestFingerprint fingerprint) {
		return this.requests.refusal(fingerprint, this.router.nowMs(), () -> {
			boolean own = this.router.peers().nearestTo(fingerprint.value(), this.router.nowMs());
			if (own) {
				logger.atWarning().log("event=crashing-tried-again id=%s print=%s", requestId, fingerprint);
			}
			return own;
		});
	}

	/**
	 * Whether a request is refused, unless it is tried again.
	 * @param fingerprint the request
	 * @return whether it is
	 */
	boolean isRefused(RequestFingerprint fingerprint) {
		return this.requests.isRefused(fingerprint, this.router.nowMs());
	}

	/**
	 * An upstream ended while a request began there.
	 * @param fingerprint the request
	 * @param upstream the upstream
	 * @param running whether it had begun to run the request and brought no result
	 */
	void crashed(RequestFingerprint fingerprint, Upstream upstream, boolean running) {
		int crashes = this.requests.crashed(fingerprint, upstream.incarnation(), running, this.router.nowMs());
		if (crashes < URGENT_CRASHES) {
			return;
		}
		logger.atWarning()
			.log("event=crashing-request print=%s crashes=%d upstream=%s running=%s refused=%s", fingerprint, crashes,
					upstream.incarnation(), running, isRefused(fingerprint));
		if (isRefused(fingerprint)) {
			giveUpRefused();
		}
		this.records.saw(fingerprint);
		if (!this.telling) {
			this.telling = true;
			this.router.loop().schedule(this::tell, GATHER_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void tell() {
		this.telling = false;
		this.toldAtMs = -PeerLink.PERIOD_MS;
		this.tellNow.run();
	}

	/**
	 * An upstream sent something.
	 * @param upstream its incarnation
	 */
	void answered(String upstream) {
		this.requests.answered(upstream, this.router.nowMs());
	}

	/**
	 * A request was answered, or ran for a while.
	 * @param fingerprint the request
	 */
	void ranWell(RequestFingerprint fingerprint) {
		this.requests.ranWell(fingerprint, this.router.nowMs());
		this.records.saw(fingerprint);
	}

	/**
	 * What other routers are told.
	 * @return what is refused and what has changed lately
	 */
	List<CrashHistory> told() {
		long nowMs = this.router.nowMs();
		if (nowMs - this.toldAtMs >= PeerLink.PERIOD_MS) {
			this.told = this.requests.historiesToSend(nowMs);
			this.toldAtMs = nowMs;
		}
		return this.told;
	}

	/**
	 * Takes what another router tells.
	 * @param histories what it knows
	 */
	void heard(List<CrashHistory> histories) {
		boolean found = false;
		for (CrashHistory history : histories) {
			boolean before = isRefused(history.fingerprint());
			this.requests.receive(history, this.router.nowMs());
			found |= !before && isRefused(history.fingerprint());
		}
		if (found) {
			logger.atWarning().log("event=crashing-requests-heard refused=%d", refused());
			giveUpRefused();
		}
	}

	// Copies that wait at other upstreams would end these too.
	private void giveUpRefused() {
		for (CallerConnection caller : Set.copyOf(this.router.callers())) {
			caller.giveUpWhere(this::isRefused);
		}
	}

	/**
	 * How many requests are refused here.
	 * @return the number
	 */
	int refused() {
		return this.requests.refused(this.router.nowMs());
	}

}
