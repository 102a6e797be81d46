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
 * Refuses requests that crash upstreams: passes what this router observed to
 * {@link CrashingRequests} and to its peers, and takes in what they report.
 * <p>
 * Invariants: the report is compiled at most once per {@link PeerLink#PERIOD_MS}, however
 * many peers query it, unless an urgent crash is due; nothing is reported, recorded or
 * given up while this router's own paths may be what ended the connections. Confined to
 * the event loop.
 */
final class CrashGuard {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Number of crashes of one request from which peers are notified immediately. */
	private static final int URGENT_CRASHES = CrashingRequests.MAX_CRASHES - 1;

	/**
	 * Crashes within this time are reported together, in milliseconds: the exit of an
	 * upstream cuts many requests at once.
	 */
	private static final long BATCH_MS = 5;

	private final RouterContext router;

	private final Runnable notifyPeers;

	private final CrashingRequests requests = new CrashingRequests();

	private final CrashRecords records;

	private List<CrashHistory> reported = List.of();

	private long reportedAtMs = -PeerLink.PERIOD_MS;

	private boolean notificationScheduled;

	/**
	 * Creates a guard without observations.
	 * @param router the clock, the event loop and the peers
	 * @param store where refused requests are recorded
	 * @param notifyPeers sends a report to many peers immediately
	 */
	CrashGuard(RouterContext router, FleetStore store, Runnable notifyPeers) {
		this.router = router;
		this.records = new CrashRecords(router, store, this.requests);
		this.notifyPeers = notifyPeers;
	}

	CrashRecords records() {
		return this.records;
	}

	/**
	 * Applies what follows from the passage of time alone: crashes count once they are
	 * settled.
	 */
	void sweep() {
		if (refused() > 0) {
			giveUpRefused();
		}
		this.records.reconcile();
	}

	/**
	 * Whether a request has to be refused.
	 * @param requestId identifies the request in the log
	 * @param fingerprint the request
	 * @return the refusal, or empty if the request may be sent
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
	 * Whether a request is refused unless it is tried again.
	 * @param fingerprint the request
	 * @return whether it is
	 */
	boolean isRefused(RequestFingerprint fingerprint) {
		return this.requests.isRefused(fingerprint, this.router.nowMs());
	}

	/**
	 * Records that the connection to an upstream ended while a request was starting
	 * there, which may be a crash.
	 * @param fingerprint the request
	 * @param upstream the upstream
	 * @param running whether the upstream had begun to run the request and had sent no
	 * result
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
		this.records.observed(fingerprint);
		if (!this.notificationScheduled) {
			this.notificationScheduled = true;
			this.router.loop().schedule(this::sendNotification, BATCH_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void sendNotification() {
		if (this.router.reachability().doubtful()) {
			this.router.loop().schedule(this::sendNotification, PeerLink.PERIOD_MS, TimeUnit.MILLISECONDS);
			return;
		}
		this.notificationScheduled = false;
		this.reportedAtMs = -PeerLink.PERIOD_MS;
		this.notifyPeers.run();
	}

	/**
	 * Records that an upstream sent something.
	 * @param upstream its incarnation
	 */
	void answered(String upstream) {
		this.requests.answered(upstream, this.router.nowMs());
	}

	/**
	 * Records that a request was answered, or ran for a while.
	 * @param fingerprint the request
	 */
	void ranWell(RequestFingerprint fingerprint) {
		this.requests.ranWell(fingerprint, this.router.nowMs());
		this.records.observed(fingerprint);
	}

	/**
	 * Returns what is reported to peers.
	 * @return refused requests and recent changes
	 */
	List<CrashHistory> reported() {
		if (this.router.reachability().doubtful()) {
			return List.of();
		}
		long nowMs = this.router.nowMs();
		if (nowMs - this.reportedAtMs >= PeerLink.PERIOD_MS) {
			this.reported = this.requests.historiesToSend(nowMs);
			this.reportedAtMs = nowMs;
		}
		return this.reported;
	}

	/**
	 * Takes in histories that a peer reports.
	 * @param histories the histories that the peer has
	 */
	void received(List<CrashHistory> histories) {
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

	/**
	 * Withdraws the crashes of upstreams of a service that this router assumed because
	 * connections ended, since it is cut off from the service.
	 * @param service the service
	 * @param sinceMs since when the connections ended
	 */
	void retract(String service, long sinceMs) {
		this.requests.retract((upstream) -> {
			UpstreamState state = this.router.directory().find(upstream);
			return state != null && state.upstream().service().equals(service);
		}, sinceMs);
	}

	// Copies that wait at other upstreams would crash these too.
	private void giveUpRefused() {
		if (this.router.reachability().doubtful()) {
			return;
		}
		for (CallerConnection caller : Set.copyOf(this.router.callers())) {
			caller.giveUpIf(this::isRefused);
		}
	}

	/**
	 * Returns how many requests are refused here.
	 * @return the number
	 */
	int refused() {
		return this.requests.refused(this.router.nowMs());
	}

}
