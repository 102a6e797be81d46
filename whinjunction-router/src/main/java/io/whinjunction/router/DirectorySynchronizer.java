package io.whinjunction.router;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.store.StoreVersion;

/**
 * Keeps the local directory of upstreams in line with the platform's store, by lists and
 * changes that a {@link UpstreamListReader} reads and by changes that peers send.
 * <p>
 * When the store was restored from an older copy, the previous list stays in use,
 * unproved, until the store is listed again. Upstreams that the copy lacks are kept for
 * as long as a live upstream may take to register again.
 * <p>
 * Invariants: the version never decreases; changes are applied only if they reach back to
 * the version of the list, so that none is skipped; only replies prove the list, each as
 * of the time of its request. Confined to the event loop.
 */
final class DirectorySynchronizer {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Minimum interval between requests for changes, in milliseconds. */
	private static final long REQUEST_INTERVAL_MS = 100;

	/** Minimum interval between log lines about ignored changes, in seconds. */
	private static final int IGNORED_LOG_INTERVAL_S = 5;

	/**
	 * How long an upstream may take to register again after the store was restored, in
	 * milliseconds. One that is still missing then is gone.
	 */
	private static final long REWRITE_PERIOD_MS = 2000;

	/** Interval between checks whether the list is proved, in milliseconds. */
	private static final long PROOF_CHECK_INTERVAL_MS = 250;

	/**
	 * How long the restored store may still list an upstream that has gone, in
	 * milliseconds: the store removes an entry after a period of silence.
	 */
	private static final long STALE_ENTRIES_EXPIRY_MS = 6000;

	private static final String FROM_STORE = "store";

	private static final String FROM_PEER = "router";

	private final RouterContext router;

	private final Listener listener;

	private final UpstreamListReader reader;

	private final RecentChanges recentChanges = new RecentChanges();

	private StoreVersion version = StoreVersion.NONE;

	/** The revision at which the list last changed. */
	private long changedAt;

	private final RestoredListFilter restoredList = new RestoredListFilter();

	private boolean listed;

	/** When this revision was last proved to be the newest, on the clock of proofs. */
	private long provedAtMs;

	private long requestedAtMs = Long.MIN_VALUE / 2;

	/**
	 * The version of the pending request for changes; {@code null} if none is pending.
	 */
	private StoreVersion requestedAfter;

	/**
	 * Creates a synchronizer.
	 * @param router the directory, the peers and the clocks
	 * @param store the store of the list
	 * @param listener receives changes and sends requests to peers
	 * @param leading whether this router plans layers and therefore must learn of changes
	 * first
	 * @param drainMs how long a leaving upstream still serves, in milliseconds
	 * @param random the source of randomness
	 */
	DirectorySynchronizer(RouterContext router, FleetStore store, Listener listener, BooleanSupplier leading,
			long drainMs, RandomGenerator random) {
		this.router = router;
		this.listener = listener;
		this.reader = new UpstreamListReader(router, store, new StoreListHolder(), leading, drainMs, random);
	}

	boolean listed() {
		return this.listed;
	}

	/**
	 * Returns the state of the local list.
	 * @return its version and the age of the proof that it is the newest
	 */
	UpstreamListState state() {
		return this.listed ? new UpstreamListState(this.version, this.changedAt, ageMs(), this.reader.watching())
				: UpstreamListState.NONE;
	}

	/**
	 * Returns whether this router is one of the few that read the store earlier than the
	 * others.
	 * @return {@code false} also if there are no others
	 */
	boolean readsEarly() {
		return this.reader.readsEarly();
	}

	private long ageMs() {
		return this.router.bootMs() - this.provedAtMs;
	}

	void start() {
		this.reader.list();
	}

	private void listed(UpstreamListing listing, long requestedBootMs) {
		if (!this.listed) {
			this.router.directory().replace(listing.upstreams());
			this.version = listing.version();
			this.changedAt = this.version.revision();
			this.listed = true;
			this.listener.changed();
		}
		else if (listing.version().era() > this.version.era()) {
			listedAfterRestore(listing);
		}
		else if (!this.version.after(listing.version())) {
			apply(this.restoredList.later(listing, this.router.directory().changesTo(listing, this.version)),
					FROM_STORE);
		}
		proved(requestedBootMs);
		logger.atInfo()
			.log("event=upstreams-listed count=%d missing=%d version=%s", this.router.directory().size(),
					this.restoredList.missing().size(), this.version);
	}

	private void listedAfterRestore(UpstreamListing listing) {
		UpstreamDirectory directory = this.router.directory();
		UpstreamChanges effective = this.restoredList.first(directory.changesTo(listing, this.version),
				directory::findByName, directory::gone);
		this.recentChanges.clear();
		directory.apply(effective);
		this.version = listing.version();
		this.changedAt = this.version.revision();
		logger.atInfo()
			.log("event=upstreams-returned changed=%d missing=%s version=%s", effective.changed().size(),
					this.restoredList.missing(), this.version);
		this.listener.changed();
		long rewriteEndBootMs = this.router.bootMs() + REWRITE_PERIOD_MS;
		scheduleInEra(() -> dropMissing(rewriteEndBootMs), REWRITE_PERIOD_MS);
		scheduleInEra(this::relistIfStaleEntries, STALE_ENTRIES_EXPIRY_MS);
	}

	private void scheduleInEra(Runnable action, long delayMs) {
		long era = this.version.era();
		this.router.loop().schedule(() -> {
			if (this.version.era() == era) {
				action.run();
			}
		}, delayMs, TimeUnit.MILLISECONDS);
	}

	// Without a proof from after the rewrite period, entries that were written again may
	// not have been read yet.
	private void dropMissing(long rewriteEndBootMs) {
		List<String> missing = List.copyOf(this.restoredList.missing());
		if (!missing.isEmpty() && this.provedAtMs < rewriteEndBootMs) {
			scheduleInEra(() -> dropMissing(rewriteEndBootMs), PROOF_CHECK_INTERVAL_MS);
		}
		else if (!missing.isEmpty()) {
			logger.atInfo().log("event=upstreams-gone removed=%s version=%s", missing, this.version);
			this.restoredList.forgetMissing();
			this.router.directory().apply(new UpstreamChanges(this.version, List.of(), missing, this.version));
			this.listener.changed();
		}
	}

	private void relistIfStaleEntries() {
		if (this.restoredList.forgetStaleEntries()) {
			this.reader.list();
		}
	}

	/** Handles a restore of the store from an older copy. */
	void storeRestored() {
		if (this.listed) {
			this.reader.relist();
		}
	}

	private void proved(long requestedBootMs) {
		this.provedAtMs = Math.max(this.provedAtMs, requestedBootMs);
	}

	private void apply(UpstreamChanges changes, String source) {
		if (changes.size() == 0) {
			advanceUnchanged(changes.version());
			return;
		}
		this.recentChanges.add(changes, this.version);
		this.router.directory().apply(changes);
		this.restoredList.recordWritten(changes);
		this.version = changes.version();
		this.changedAt = this.version.revision();
		logger.atInfo()
			.log("event=upstreams-changed changed=%d removed=%s version=%s from=%s", changes.changed().size(),
					changes.removed(), this.version, source);
		this.listener.changed();
	}

	// The revision advances although the list did not change: the store discards history
	// that lies too far back.
	private void advanceUnchanged(StoreVersion newer) {
		this.recentChanges.unchanged(this.version, newer);
		this.version = newer;
	}

	/**
	 * Processes the state of the list as reported by a peer.
	 * @param address the address at which the peer receives messages
	 * @param theirs the reported state
	 * @param theirProvedAtMs when its version was last proved to be the newest, on the
	 * clock of proofs
	 */
	void peerStateReceived(String address, UpstreamListState theirs, long theirProvedAtMs) {
		if (!this.listed || theirs.version().era() != this.version.era()) {
			return;
		}
		if (theirs.changedAt() <= this.version.revision()) {
			proved(theirProvedAtMs);
			if (theirs.version().after(this.version)) {
				advanceUnchanged(theirs.version());
			}
		}
		else if (this.router.nowMs() - this.requestedAtMs >= REQUEST_INTERVAL_MS) {
			this.requestedAtMs = this.router.nowMs();
			this.requestedAfter = this.version;
			this.listener.requestChanges(address, this.version);
		}
	}

	/**
	 * Returns the changes after a version, for a peer.
	 * @param after the version that the peer has
	 * @return the changes, or {@link UpstreamChanges#unknownAfter} if they are not
	 * available
	 */
	UpstreamChanges changesAfter(StoreVersion after) {
		return this.recentChanges.after(after);
	}

	/**
	 * Processes changes sent by a peer.
	 * @param changes the changes; ignored if they were not requested, are outdated or
	 * duplicate, or do not reach back to the version of the local list. If the peer does
	 * not have the changes, they are requested from the next peer that reports a later
	 * version, or finally read from the store
	 */
	void peerChangesReceived(UpstreamChanges changes) {
		boolean requested = this.listed && changes.after().equals(this.requestedAfter);
		if (requested && changes.appliesTo(this.version)) {
			apply(changes, FROM_PEER);
		}
		else if (!requested || !changes.unknown()) {
			logger.atWarning()
				.atMostEvery(IGNORED_LOG_INTERVAL_S, TimeUnit.SECONDS)
				.log("event=changes-passed-over after=%s to=%s asked=%s held=%s", changes.after(), changes.version(),
						this.requestedAfter, this.version);
		}
		this.requestedAfter = requested ? null : this.requestedAfter;
	}

	/** Receives what is read from the store. */
	private final class StoreListHolder implements UpstreamListReader.ListHolder {

		@Override
		public StoreVersion version() {
			return DirectorySynchronizer.this.version;
		}

		@Override
		public long ageMs() {
			return DirectorySynchronizer.this.ageMs();
		}

		@Override
		public void listed(UpstreamListing listing, long requestedBootMs) {
			DirectorySynchronizer.this.listed(listing, requestedBootMs);
		}

		@Override
		public void changed(UpstreamChanges changes, long requestedBootMs) {
			proved(requestedBootMs);
			if (changes.appliesTo(DirectorySynchronizer.this.version)) {
				apply(changes, FROM_STORE);
				if (changes.size() > 0) {
					DirectorySynchronizer.this.listener.notifyPeers();
				}
			}
		}

	}

	/** Receives events of the synchronizer. Called on the event loop. */
	interface Listener {

		/** Called after the directory has changed. */
		void changed();

		/** Sends the newest version to peers at once. */
		void notifyPeers();

		/**
		 * Requests changes from a peer that has a later version.
		 * @param address the address at which the peer receives messages
		 * @param after the version that this router has
		 */
		void requestChanges(String address, StoreVersion after);

	}

}
