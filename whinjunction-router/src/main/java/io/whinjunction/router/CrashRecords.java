package io.whinjunction.router;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.CrashingRequests;
import io.whinjunction.forward.RequestFingerprint;

/**
 * Keeps in the platform's store which requests are refused since they crash upstreams.
 * <p>
 * The failure it is there for: all routers end at once, and a request that ended three
 * upstreams ends three more before the new ones know it.
 * <p>
 * Invariant: one call at a time; what the store holds comes to be what is refused,
 * whatever is lost on the way, as long as any router that knows of both is there. Of a
 * fleet one router writes, and whoever saw the last crash itself. Confined to the event
 * loop.
 */
final class CrashRecords {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause before another try to read, in milliseconds. */
	private static final long READ_AGAIN_MS = 500;

	private final RouterContext router;

	private final FleetStore store;

	private final CrashingRequests requests;

	/** Requests that the store holds, as far as is known here. */
	private final Set<RequestFingerprint> stored = new HashSet<>();

	/** Requests that this router itself saw crash an upstream, or run well again. */
	private final Set<RequestFingerprint> seen = new HashSet<>();

	private boolean calling;

	/**
	 * Nothing was read yet.
	 * @param router the clock, the event loop and the other routers
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
				this.router.loop().schedule(this::read, READ_AGAIN_MS, TimeUnit.MILLISECONDS);
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
	 * This router itself saw a request crash an upstream, or run well.
	 * @param fingerprint the request
	 */
	void saw(RequestFingerprint fingerprint) {
		if (this.requests.isRefused(fingerprint, this.router.nowMs()) != this.stored.contains(fingerprint)) {
			this.seen.add(fingerprint);
			reconcile();
		}
	}

	/** Brings the store one step nearer to what is refused. */
	void reconcile() {
		if (this.calling) {
			return;
		}
		for (RequestFingerprint fingerprint : this.requests.refusedOnes(this.router.nowMs())) {
			if (!this.stored.contains(fingerprint) && writes(fingerprint)) {
				this.calling = true;
				this.store.recordCrashing(fingerprint.toString(), (reply) -> ended(fingerprint, true, reply));
				return;
			}
		}
		for (RequestFingerprint fingerprint : this.stored) {
			if (!this.requests.isRefused(fingerprint, this.router.nowMs()) && writes(fingerprint)) {
				this.calling = true;
				this.store.removeCrashing(fingerprint.toString(), (reply) -> ended(fingerprint, false, reply));
				return;
			}
		}
	}

	private boolean writes(RequestFingerprint fingerprint) {
		return this.seen.contains(fingerprint)
				|| this.router.peers().nearestTo(fingerprint.value(), this.router.nowMs());
	}

	private void ended(RequestFingerprint fingerprint, boolean recorded, StoreReply<Boolean> reply) {
		this.calling = false;
		if (reply instanceof StoreReply.Unavailable<Boolean> unavailable) {
			logger.atWarning()
				.log("event=crash-record-failed print=%s record=%s reason=\"%s\"", fingerprint, recorded,
						unavailable.reason());
			return;
		}
		logger.atInfo().log("event=crash-record print=%s record=%s", fingerprint, recorded);
		this.seen.remove(fingerprint);
		if (recorded) {
			this.stored.add(fingerprint);
		}
		else {
			this.stored.remove(fingerprint);
		}
	}

	/** The store has come back from an older copy: what was written may be gone. */
	void storeRestored() {
		this.stored.clear();
	}

}
