package io.whinjunction.router;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * Records in the platform's store which requests and parts of prompts are refused because
 * they crash upstreams.
 * <p>
 * Guards against the exit of all routers at once, after which what crashed three
 * upstreams crashes three more before the new routers have learned of it.
 * <p>
 * Invariant: one call at a time; the store converges to the set of verdicts, whatever
 * calls are lost, as long as a router that holds both is alive. In a fleet one router
 * writes, and additionally each router that observed the last crash itself. Confined to
 * the event loop.
 */
final class CrashRecords {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The delay before a failed read is retried, in milliseconds. */
	private static final long READ_RETRY_MS = 500;

	private final RouterContext router;

	private final FleetStore store;

	private final Verdicts verdicts;

	/** The names of the verdicts that the store holds, as last known here. */
	private final Set<String> stored = new HashSet<>();

	/** The names of verdicts that changed by what this router itself observed. */
	private final Set<String> observed = new HashSet<>();

	private boolean callInProgress;

	private boolean read;

	/**
	 * Creates records of which nothing was read yet.
	 * @param router the clock, the event loop and the peers
	 * @param store where the records are
	 * @param verdicts the verdicts in force
	 */
	CrashRecords(RouterContext router, FleetStore store, Verdicts verdicts) {
		this.router = router;
		this.store = store;
		this.verdicts = verdicts;
	}

	/**
	 * Returns whether the verdicts of earlier routers were read.
	 * @return whether they are in force here
	 */
	boolean known() {
		return this.read;
	}

	/**
	 * Reads what earlier routers have recorded.
	 * @param done is run once it is read
	 */
	void read(Runnable done) {
		this.store.readCrashing((reply) -> {
			if (reply instanceof StoreReply.Found<List<String>> found) {
				found.value().forEach(this::restore);
				logger.atInfo().log("event=crashing-requests-read count=%d", this.stored.size());
			}
			else if (!(reply instanceof StoreReply.Absent)) {
				this.router.loop().schedule(() -> read(done), READ_RETRY_MS, TimeUnit.MILLISECONDS);
				return;
			}
			this.read = true;
			done.run();
		});
	}

	private void restore(String name) {
		if (this.verdicts.restore(name)) {
			this.stored.add(name);
		}
		else {
			logger.atWarning().log("event=crash-record-unusable name=\"%s\"", name);
		}
	}

	/**
	 * Records that verdicts may have changed by what this router itself observed.
	 * @param name the name of such a verdict
	 */
	void observed(String name) {
		if (this.verdicts.inForce(name) != this.stored.contains(name)) {
			this.observed.add(name);
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
		Set<String> inForce = this.verdicts.inForce();
		for (String name : inForce) {
			if (!this.stored.contains(name) && isWriter(name)) {
				this.callInProgress = true;
				this.store.recordCrashing(name, (reply) -> onReply(name, true, reply));
				return;
			}
		}
		for (String name : this.stored) {
			if (!inForce.contains(name) && isWriter(name)) {
				this.callInProgress = true;
				this.store.removeCrashing(name, (reply) -> onReply(name, false, reply));
				return;
			}
		}
	}

	private boolean isWriter(String name) {
		return this.observed.contains(name) || this.router.peers().nearestTo(name.hashCode(), this.router.nowMs());
	}

	private void onReply(String name, boolean recorded, StoreReply<Boolean> reply) {
		this.callInProgress = false;
		if (reply instanceof StoreReply.Unavailable<Boolean> unavailable) {
			logger.atWarning()
				.log("event=crash-record-failed print=%s record=%s reason=\"%s\"", name, recorded,
						unavailable.reason());
			return;
		}
		logger.atInfo().log("event=crash-record print=%s record=%s", name, recorded);
		this.observed.remove(name);
		if (recorded) {
			this.stored.add(name);
		}
		else {
			this.stored.remove(name);
		}
	}

	/**
	 * Clears the record of what the store holds: the store was restored from an older
	 * copy, so writes may be lost.
	 */
	void storeRestored() {
		this.stored.clear();
	}

	/** What is refused, by name. */
	interface Verdicts {

		/**
		 * Returns the verdicts in force.
		 * @return their names
		 */
		Set<String> inForce();

		/**
		 * Returns whether a verdict is in force.
		 * @param name its name
		 * @return whether it is among {@link #inForce()}
		 */
		boolean inForce(String name);

		/**
		 * Restores a verdict of earlier routers.
		 * @param name the name under which it was recorded
		 * @return whether the name is valid
		 */
		boolean restore(String name);

	}

}
