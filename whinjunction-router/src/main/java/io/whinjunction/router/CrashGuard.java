package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.CrashHistory;
import io.whinjunction.forward.CrashingParts;
import io.whinjunction.forward.CrashingRequests;
import io.whinjunction.forward.PartHistory;
import io.whinjunction.forward.PartVerdict;
import io.whinjunction.forward.RequestFingerprint;
import io.whinjunction.forward.RequestIdentity;

/**
 * Refuses requests that crash upstreams: passes what this router observed to
 * {@link CrashingRequests} and {@link CrashingParts} and to its peers, and takes in what
 * they report.
 * <p>
 * Invariants: the reports are compiled at most once per {@link PeerLink#PERIOD_MS},
 * however many peers query them, unless an urgent crash is due; nothing is reported,
 * recorded or given up while this router's own paths may be what ended the connections.
 * Confined to the event loop.
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

	/**
	 * How long after its answer to a status query the reports of a peer have arrived, in
	 * milliseconds.
	 */
	private static final long REPORTS_MS = 20;

	/**
	 * How long a starting router waits for the verdicts that are in force, in
	 * milliseconds.
	 */
	private static final long MAX_WAIT_MS = 2000;

	private final RouterContext router;

	private final Listener listener;

	private final CrashingRequests requests = new CrashingRequests();

	private final CrashingParts parts = new CrashingParts();

	private final CrashRecords records;

	/** The names of the verdicts on parts that are in force, as last determined. */
	private Set<String> verdictsOnParts = Set.of();

	private List<PeerMessage> reports = List.of();

	private long reportedAtMs = -PeerLink.PERIOD_MS;

	private boolean notificationScheduled;

	private boolean peerReported;

	private boolean waitedInVain;

	/**
	 * Creates a guard without observations.
	 * @param router the clock, the event loop and the peers
	 * @param store where verdicts are recorded
	 * @param listener is informed of changes
	 */
	CrashGuard(RouterContext router, FleetStore store, Listener listener) {
		this.router = router;
		this.records = new CrashRecords(router, store, new Verdicts());
		this.listener = listener;
	}

	/** Reads the verdicts of earlier routers. */
	void start() {
		this.records.read(() -> {
			verdictsChanged();
			this.listener.informed();
		});
		this.router.loop().schedule(this::endWait, MAX_WAIT_MS, TimeUnit.MILLISECONDS);
	}

	private void endWait() {
		if (!informed()) {
			logger.atWarning().log("event=crash-verdicts-unknown waited-ms=%d", MAX_WAIT_MS);
			this.waitedInVain = true;
			this.listener.informed();
		}
	}

	/**
	 * Returns whether this router knows the verdicts that are in force elsewhere, or that
	 * earlier routers recorded.
	 * @return {@code false} until the store or a peer has told them, or the time to wait
	 * for that is over
	 */
	boolean informed() {
		return this.peerReported || this.records.known() || this.waitedInVain;
	}

	/** Handles that a peer answered a status query; its reports follow. */
	void peerAnswered() {
		if (!informed()) {
			this.router.loop().schedule(() -> {
				this.peerReported = true;
				this.listener.informed();
			}, REPORTS_MS, TimeUnit.MILLISECONDS);
		}
	}

	/** Handles that the store was restored from an older copy. */
	void storeRestored() {
		this.records.storeRestored();
	}

	/**
	 * Applies what follows from the passage of time alone, or from a good run of another
	 * request: crashes count once they are settled, and a verdict covers more requests
	 * once another part is cleared.
	 */
	void sweep() {
		if (refusedRequests() > 0 || refusedParts() > 0) {
			giveUpRefused();
		}
		this.records.reconcile();
	}

	/**
	 * Whether a request has to be refused.
	 * @param requestId identifies the request in the log
	 * @param request the request
	 * @return when it may be sent again, in milliseconds from now; empty if it may be
	 * sent
	 */
	OptionalLong refusal(String requestId, RequestIdentity request) {
		Optional<CrashingParts.Refusal> ofPart = this.parts.refusal(request.parts(), this.router.nowMs(),
				(part) -> retries(requestId, part.value(), part));
		if (ofPart.isPresent()) {
			return OptionalLong.of(ofPart.get().retryAfterMs());
		}
		RequestFingerprint fingerprint = request.fingerprint();
		Optional<CrashingRequests.Refusal> refusal = this.requests.refusal(fingerprint, this.router.nowMs(),
				() -> retries(requestId, fingerprint.value(), fingerprint));
		return refusal.isPresent() ? OptionalLong.of(refusal.get().retryAfterMs()) : OptionalLong.empty();
	}

	private boolean retries(String requestId, long key, Object cause) {
		boolean own = this.router.peers().nearestTo(key, this.router.nowMs());
		if (own) {
			logger.atWarning().log("event=crashing-tried-again id=%s print=%s", requestId, cause);
		}
		return own;
	}

	/**
	 * Whether a request is refused unless it is tried again.
	 * @param request the request
	 * @return whether it is
	 */
	boolean isRefused(RequestIdentity request) {
		return this.requests.isRefused(request.fingerprint(), this.router.nowMs())
				|| this.parts.refusedPart(request.parts(), this.router.nowMs()).isPresent();
	}

	/**
	 * Records that the connection to an upstream ended while a request was starting
	 * there, which may be a crash.
	 * @param request the request
	 * @param upstream the upstream
	 * @param start how far the request had come there
	 */
	void crashed(RequestIdentity request, Upstream upstream, Start start) {
		long nowMs = this.router.nowMs();
		this.parts.crashed(request.fingerprint(), request.parts(),
				new CrashingParts.Crash(upstream.incarnation(), start.sentAtMs(), nowMs, start.begun()), nowMs);
		boolean urgent = start.begun() && !request.parts().isEmpty();
		int crashes = this.requests.crashed(request.fingerprint(), upstream.incarnation(), start.noResult(), nowMs);
		if (crashes >= URGENT_CRASHES) {
			urgent = true;
			logger.atWarning()
				.log("event=crashing-request print=%s crashes=%d upstream=%s running=%s refused=%s",
						request.fingerprint(), crashes, upstream.incarnation(), start.noResult(),
						this.requests.isRefused(request.fingerprint(), nowMs));
			this.records.observed(request.fingerprint().toString());
		}
		if (isRefused(request)) {
			giveUpRefused();
		}
		if (urgent && !this.notificationScheduled) {
			this.notificationScheduled = true;
			this.router.loop().schedule(this::sendNotification, BATCH_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void sendNotification() {
		verdictsChanged().forEach(this.records::observed);
		if (this.router.reachability().doubtful()) {
			this.router.loop().schedule(this::sendNotification, PeerLink.PERIOD_MS, TimeUnit.MILLISECONDS);
			return;
		}
		this.notificationScheduled = false;
		this.reportedAtMs = -PeerLink.PERIOD_MS;
		this.listener.notifyPeers();
	}

	// Logs which verdicts on parts have come into force or were lifted, and returns them.
	private Set<String> verdictsChanged() {
		List<PartVerdict> verdicts = this.parts.verdicts(this.router.nowMs());
		Set<String> changed = new HashSet<>(this.verdictsOnParts);
		Set<String> inForce = new HashSet<>();
		for (PartVerdict verdict : verdicts) {
			inForce.add(verdict.toString());
			if (!changed.remove(verdict.toString())) {
				changed.add(verdict.toString());
				logger.atWarning()
					.log("event=crashing-part part=%s crashes=%d alternatives=%d refused=true", verdict.part(),
							this.parts.crashes(verdict.part()), verdict.alternatives().size());
			}
		}
		for (String lifted : changed) {
			if (!inForce.contains(lifted)) {
				logger.atWarning().log("event=crashing-part name=%s refused=false", lifted);
			}
		}
		this.verdictsOnParts = inForce;
		return changed;
	}

	/**
	 * Records that an upstream sent something.
	 * @param upstream its incarnation
	 */
	void answered(String upstream) {
		this.requests.answered(upstream, this.router.nowMs());
		this.parts.answered(upstream, this.router.nowMs());
	}

	/**
	 * Records that an upstream answered a request, if only with a failure.
	 * @param request the request
	 */
	void survived(RequestFingerprint request) {
		this.requests.ranWell(request, this.router.nowMs());
		this.records.observed(request.toString());
	}

	/**
	 * Records that a request was answered with success, or ran for a while.
	 * @param request the request
	 * @param begunAtMs when the upstream began to answer it
	 */
	void ranWell(RequestIdentity request, long begunAtMs) {
		survived(request.fingerprint());
		boolean refused = this.parts.refusedPart(request.parts(), this.router.nowMs()).isPresent();
		this.parts.ranWell(request.parts(), begunAtMs, this.router.nowMs());
		if (refused) {
			verdictsChanged().forEach(this.records::observed);
		}
	}

	/**
	 * Returns what is reported to peers.
	 * @return refused requests and parts, and recent changes; nearly always none
	 */
	List<PeerMessage> reports() {
		if (this.router.reachability().doubtful()) {
			return List.of();
		}
		long nowMs = this.router.nowMs();
		if (nowMs - this.reportedAtMs >= PeerLink.PERIOD_MS) {
			List<PeerMessage> compiled = new ArrayList<>();
			List<CrashHistory> histories = this.requests.historiesToSend(nowMs);
			if (!histories.isEmpty()) {
				compiled.add(new PeerMessage.CrashReports(histories, List.of()));
			}
			List<PartHistory> partHistories = this.parts.historiesToSend(nowMs);
			if (!partHistories.isEmpty()) {
				compiled.add(new PeerMessage.CrashReports(List.of(), partHistories));
			}
			this.reports = compiled;
			this.reportedAtMs = nowMs;
		}
		return this.reports;
	}

	/**
	 * Takes in what a peer reports.
	 * @param received the histories that the peer has
	 */
	void received(PeerMessage.CrashReports received) {
		boolean found = false;
		for (CrashHistory history : received.histories()) {
			boolean before = this.requests.isRefused(history.fingerprint(), this.router.nowMs());
			this.requests.receive(history, this.router.nowMs());
			found |= !before && this.requests.isRefused(history.fingerprint(), this.router.nowMs());
		}
		if (found) {
			logger.atWarning().log("event=crashing-requests-heard refused=%d", refusedRequests());
		}
		received.partHistories().forEach((history) -> this.parts.receive(history, this.router.nowMs()));
		found |= !received.partHistories().isEmpty() && !verdictsChanged().isEmpty();
		if (found) {
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
		this.requests.retract((upstream) -> isOf(upstream, service), sinceMs);
		this.parts.retract((upstream) -> isOf(upstream, service), sinceMs);
	}

	private boolean isOf(String upstream, String service) {
		UpstreamState state = this.router.directory().find(upstream);
		return state != null && state.upstream().service().equals(service);
	}

	// Requests that wait at other upstreams would crash these too.
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
	int refusedRequests() {
		return this.requests.refused(this.router.nowMs());
	}

	/**
	 * Returns how many parts of prompts are refused here.
	 * @return the number
	 */
	int refusedParts() {
		return this.verdictsOnParts.size();
	}

	/** Is informed of changes. */
	interface Listener {

		/** Sends a report to many peers immediately. */
		void notifyPeers();

		/** Called once the verdicts that are in force are known. */
		void informed();

	}

	/**
	 * How far a request had come at an upstream whose connection ended. Immutable.
	 *
	 * @param sentAtMs when it was sent there
	 * @param begun whether the upstream had begun to answer it
	 * @param noResult whether the upstream had begun to answer it and no upstream had
	 * sent a result
	 */
	record Start(long sentAtMs, boolean begun, boolean noResult) {
	}

	/** The verdicts that are recorded. */
	private final class Verdicts implements CrashRecords.Verdicts {

		@Override
		public Set<String> inForce() {
			Set<String> names = new HashSet<>();
			long nowMs = CrashGuard.this.router.nowMs();
			CrashGuard.this.requests.refusedFingerprints(nowMs).forEach((request) -> names.add(request.toString()));
			verdictsChanged();
			names.addAll(CrashGuard.this.verdictsOnParts);
			return names;
		}

		@Override
		public boolean inForce(String name) {
			return RequestFingerprint.parse(name)
				.map((request) -> CrashGuard.this.requests.isRefused(request, CrashGuard.this.router.nowMs()))
				.orElseGet(() -> CrashGuard.this.verdictsOnParts.contains(name));
		}

		@Override
		public boolean restore(String name) {
			long nowMs = CrashGuard.this.router.nowMs();
			Optional<RequestFingerprint> request = RequestFingerprint.parse(name);
			request.ifPresent((fingerprint) -> CrashGuard.this.requests.restored(fingerprint, nowMs));
			return request.isPresent() || CrashGuard.this.parts.restore(name, nowMs);
		}

	}

}
