package io.whinjunction.router;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.CrashingRequests;
import io.whinjunction.forward.RequestFingerprint;

/**
 * Records in the platform's store which requests are refused because they crash
 * upstreams.
 * <p>
 * Guards against the exit of all routers at once, after which a request that crashed
 * three upstreams crashes three more before the new routers have learned of it.
 * <p>
 * Invariant: one call at a time; the store converges to the set of refused requests,
 * whatever calls are lost, as long as a router that holds both is alive. In a fleet one
 * router writes, and additionally each router that observed the last crash itself.
 * Confined to the event loop.
 */
final class CrashRecords {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The delay before a failed read is retried, in milliseconds. */
	private static final long READ_RETRY_MS = 500;

	private final RouterContext router;

	private final FleetStore store;

	private final CrashingRequests requests;

	/** Requests that the store holds, as last known here. */
	private final Set<RequestFingerprint> stored = new HashSet<>();

	/**
	 * Requests that this router itself observed to crash an upstream, or to run well
	 * again.
	 */
	private final Set<RequestFingerprint> observed = new HashSet<>();

	private boolean callInProgress;

	/**
	 * Creates records of which nothing was read yet.
	 * @param router the clock, the event loop and the peers
	 * @param store where the records are
	 * @param requests which requests are refused
	 */
	CrashRecords(RouterContext router, FleetStore store, CrashingRequests requests) {
		this.router = router;
		this.store = store;
		this.requests = requests;
	}

	/** Reads what earlier routers have recorded. */
	void read() {
		this.store.readCrashing((reply) -> {
			if (reply instanceof StoreReply.Found<List<String>> found) {
				found.value().forEach(this::restore);
				logger.atInfo().log("event=crashing-requests-read count=%d", this.stored.size());
			}
			else if (!(reply instanceof StoreReply.Absent)) {
				this.router.loop().schedule(this::read, READ_RETRY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void restore(String name) {
		RequestFingerprint.parse(name).ifPresentOrElse((fingerprint) -> {
			this.stored.add(fingerprint);
			this.requests.restored(fingerprint, this.router.nowMs());
		}, () -> logger.atWarning().log("event=crash-record-unusable name=\"%s\"", name));
	}

	/**
	 * Records that this router itself observed a request crash an upstream, or run well.
	 * @param fingerprint the request
	 */
	void observed(RequestFingerprint fingerprint) {
		if (this.requests.isRefused(fingerprint, this.router.nowMs()) != this.stored.contains(fingerprint)) {
			this.observed.add(fingerprint);
			reconcile();
		}
	}

	/**
	 * Writes the next difference between the refused requests and the store, if there is
	 * one.
	 */
	void reconcile() {
		if (this.callInProgress || this.router.reachability().doubtful()) {
			return;
		}
		for (RequestFingerprint fingerprint : this.requests.refusedFingerprints(this.router.nowMs())) {
			if (!this.stored.contains(fingerprint) && isWriter(fingerprint)) {
				this.callInProgress = true;
				this.store.recordCrashing(fingerprint.toString(), (reply) -> onReply(fingerprint, true, reply));
				return;
			}
		}
		for (RequestFingerprint fingerprint : this.stored) {
			if (!this.requests.isRefused(fingerprint, this.router.nowMs()) && isWriter(fingerprint)) {
				this.callInProgress = true;
				this.store.removeCrashing(fingerprint.toString(), (reply) -> onReply(fingerprint, false, reply));
				return;
			}
		}
	}

	private boolean isWriter(RequestFingerprint fingerprint) {
		return this.observed.contains(fingerprint)
				|| this.router.peers().nearestTo(fingerprint.value(), this.router.nowMs());
	}

	private void onReply(RequestFingerprint fingerprint, boolean recorded, StoreReply<Boolean> reply) {
		this.callInProgress = false;
		if (reply instanceof StoreReply.Unavailable<Boolean> unavailable) {
			logger.atWarning()
				.log("event=crash-record-failed print=%s record=%s reason=\"%s\"", fingerprint, recorded,
						unavailable.reason());
			return;
		}
		logger.atInfo().log("event=crash-record print=%s record=%s", fingerprint, recorded);
		this.observed.remove(fingerprint);
		if (recorded) {
			this.stored.add(fingerprint);
		}
		else {
			this.stored.remove(fingerprint);
		}
	}

	/**
	 * Clears the record of what the store holds: the store was restored from an older
	 * copy, so writes may be lost.
	 */
	void storeRestored() {
		this.stored.clear();
	}

}
