package io.whinjunction.router;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.store.StoreVersion;

/**
 * Keeps the directory of upstreams as the platform's store has it: lists and changes,
 * read by a {@link UpstreamListReader} and told by other routers.
 * <p>
 * Where the store has come back from an older copy, the list of before stays in use until
 * it is listed anew, and nothing proves it; what the copy doesn't have is kept for as
 * long as an upstream that lives may take to write itself again.
 * <p>
 * Invariants: the version never goes down; changes are applied only to a list that they
 * reach back to, so that none is left out; the list is proved by answers only, each as of
 * its question. Confined to the event loop.
 */
final class DirectorySynchronizer {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between two questions for changes, in milliseconds. */
	private static final long ASK_PAUSE_MS = 100;

	/** The pause between two lines about changes that are passed over, in seconds. */
	private static final int PASSED_OVER_LOG_S = 5;

	/**
	 * How long after the store came back an upstream may take to write itself again, in
	 * milliseconds; whoever is still missing then is gone.
	 */
	private static final long WRITTEN_AGAIN_MS = 2000;

	/** The pause between two looks whether the list is proved, in milliseconds. */
	private static final long PROOF_PAUSE_MS = 250;

	/**
	 * How long after that an entry may stand in the store whose upstream has gone, in
	 * milliseconds: the store drops it after some silence.
	 */
	private static final long TRUSTED_AGAIN_MS = 6000;

	private static final String FROM_STORE = "store";

	private static final String FROM_ROUTER = "router";

	private final RouterContext router;

	private final Listener listener;

	private final UpstreamListReader reader;

	private final RecentChanges recent = new RecentChanges();

	private StoreVersion version = StoreVersion.NONE;

	/** The revision with which the list last changed. */
	private long changedAt;

	private final RestoredListFilter returned = new RestoredListFilter();

	private boolean listed;

	/** When this revision was the newest for certain, on the clock of proofs. */
	private long provedAtMs;

	private long askedAtMs = Long.MIN_VALUE / 2;

	/** The version that was asked about last; {@code null} where no question is open. */
	private StoreVersion askedAfter;

	/**
	 * A keeper.
	 * @param router the directory, the other routers and the clocks
	 * @param store where the list is
	 * @param listener hears of changes, and asks other routers
	 * @param leads whether this router plans layers, and so has to know of changes first
	 * @param drainMs how long an upstream that leaves still serves, in milliseconds
	 * @param random the source of chance
	 */
	DirectorySynchronizer(RouterContext router, FleetStore store, Listener listener, BooleanSupplier leads, long drainMs,
			RandomGenerator random) {
		this.router = router;
		this.listener = listener;
		this.reader = new UpstreamListReader(router, store, new Read(), leads, drainMs, random);
	}

	boolean listed() {
		return this.listed;
	}

	/**
	 * How this router knows the list.
	 * @return its version and the age of the proof that it is the newest
	 */
	UpstreamListState state() {
		return this.listed ? new UpstreamListState(this.version, this.changedAt, ageMs(), this.reader.watching()) : UpstreamListState.NONE;
	}

	/**
	 * Whether this router is one of the few that ask the store sooner than the others.
	 * @return {@code false} also where there are no others
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

	private void listed(UpstreamListing listing, long askedBootMs) {
		if (!this.listed) {
			this.router.directory().replace(listing.upstreams());
			this.version = listing.version();
			this.changedAt = this.version.revision();
			this.listed = true;
			this.listener.changed();
		}
		else if (listing.version().era() > this.version.era()) {
			listedAnew(listing);
		}
		else if (!this.version.after(listing.version())) {
			apply(this.returned.later(listing, this.router.directory().changesTo(listing, this.version)), FROM_STORE);
		}
		proved(askedBootMs);
		logger.atInfo()
			.log("event=upstreams-listed count=%d missing=%d version=%s", this.router.directory().size(),
					this.returned.missing().size(), this.version);
	}

	private void listedAnew(UpstreamListing listing) {
		UpstreamDirectory directory = this.router.directory();
		UpstreamChanges news = this.returned.first(directory.changesTo(listing, this.version), directory::findByName,
				directory::gone);
		this.recent.clear();
		directory.apply(news);
		this.version = listing.version();
		this.changedAt = this.version.revision();
		logger.atInfo()
			.log("event=upstreams-returned changed=%d missing=%s version=%s", news.changed().size(),
					this.returned.missing(), this.version);
		this.listener.changed();
		long writtenAgainBootMs = this.router.bootMs() + WRITTEN_AGAIN_MS;
		inThisEra(() -> dropMissing(writtenAgainBootMs), WRITTEN_AGAIN_MS);
		inThisEra(this::trustAgain, TRUSTED_AGAIN_MS);
	}

	private void inThisEra(Runnable step, long pauseMs) {
		long era = this.version.era();
		this.router.loop().schedule(() -> {
			if (this.version.era() == era) {
				step.run();
			}
		}, pauseMs, TimeUnit.MILLISECONDS);
	}

	// Without a proof of later, what was written again may not have been read yet.
	private void dropMissing(long writtenAgainBootMs) {
		List<String> missing = List.copyOf(this.returned.missing());
		if (!missing.isEmpty() && this.provedAtMs < writtenAgainBootMs) {
			inThisEra(() -> dropMissing(writtenAgainBootMs), PROOF_PAUSE_MS);
		}
		else if (!missing.isEmpty()) {
			logger.atInfo().log("event=upstreams-gone removed=%s version=%s", missing, this.version);
			this.returned.forgetMissing();
			this.router.directory().apply(new UpstreamChanges(this.version, List.of(), missing, this.version));
			this.listener.changed();
		}
	}

	private void trustAgain() {
		if (this.returned.forgetOutlived()) {
			this.reader.list();
		}
	}

	/** The store has come back from an older copy. */
	void storeRestored() {
		if (this.listed) {
			this.reader.relist();
		}
	}

	private void proved(long askedBootMs) {
		this.provedAtMs = Math.max(this.provedAtMs, askedBootMs);
	}

	private void apply(UpstreamChanges changes, String source) {
		if (changes.size() == 0) {
			unchangedUntil(changes.version());
			return;
		}
		this.recent.add(changes, this.version);
		this.router.directory().apply(changes);
		this.returned.written(changes);
		this.version = changes.version();
		this.changedAt = this.version.revision();
		logger.atInfo()
			.log("event=upstreams-changed changed=%d removed=%s version=%s from=%s", changes.changed().size(),
					changes.removed(), this.version, source);
		this.listener.changed();
	}

	// The revision goes on all the same: the store forgets what lies too far back.
	private void unchangedUntil(StoreVersion newer) {
		this.recent.unchanged(this.version, newer);
		this.version = newer;
	}

	/**
	 * Hears how another router knows the list.
	 * @param address where it takes messages
	 * @param theirs what it said
	 * @param theirProvedAtMs when its version was the newest for certain, on the clock of
	 * proofs
	 */
	void peerStateReceived(String address, UpstreamListState theirs, long theirProvedAtMs) {
		if (!this.listed || theirs.version().era() != this.version.era()) {
			return;
		}
		if (theirs.changedAt() <= this.version.revision()) {
			proved(theirProvedAtMs);
			if (theirs.version().after(this.version)) {
				unchangedUntil(theirs.version());
			}
		}
		else if (this.router.nowMs() - this.askedAtMs >= ASK_PAUSE_MS) {
			this.askedAtMs = this.router.nowMs();
			this.askedAfter = this.version;
			this.listener.requestChanges(address, this.version);
		}
	}

	/**
	 * What changed after a version, for another router.
	 * @param after the version that it has
	 * @return the changes, where they are known
	 */
	UpstreamChanges changesAfter(StoreVersion after) {
		return this.recent.after(after);
	}

	/**
	 * Takes what another router says has changed.
	 * @param changes the changes; those that weren't asked for, are old, doubled or don't
	 * reach back to this router's list change nothing. Where the other one doesn't know
	 * them, the next one that is heard is asked, or in the end the store
	 */
	void peerChangesReceived(UpstreamChanges changes) {
		boolean asked = this.listed && changes.after().equals(this.askedAfter);
		if (asked && changes.appliesTo(this.version)) {
			apply(changes, FROM_ROUTER);
		}
		else if (!asked || !changes.unknown()) {
			logger.atWarning()
				.atMostEvery(PASSED_OVER_LOG_S, TimeUnit.SECONDS)
				.log("event=changes-passed-over after=%s to=%s asked=%s held=%s", changes.after(), changes.version(),
						this.askedAfter, this.version);
		}
		this.askedAfter = asked ? null : this.askedAfter;
	}

	/** What is read from the store. */
	private final class Read implements UpstreamListReader.ListHolder {

		@Override
		public StoreVersion version() {
			return DirectorySynchronizer.this.version;
		}

		@Override
		public long ageMs() {
			return DirectorySynchronizer.this.ageMs();
		}

		@Override
		public void listed(UpstreamListing listing, long askedBootMs) {
			DirectorySynchronizer.this.listed(listing, askedBootMs);
		}

		@Override
		public void changed(UpstreamChanges changes, long askedBootMs) {
			proved(askedBootMs);
			if (changes.appliesTo(DirectorySynchronizer.this.version)) {
				apply(changes, FROM_STORE);
				if (changes.size() > 0) {
					DirectorySynchronizer.this.listener.notifyPeers();
				}
			}
		}

	}

	/** What the keeper wants of others; called on the event loop. */
	interface Listener {

		/** The directory has changed. */
		void changed();

		/** Other routers should hear of the newest version at once. */
		void notifyPeers();

		/**
		 * Another router has a later version.
		 * @param address where it takes messages
		 * @param after the version that this router has
		 */
		void requestChanges(String address, StoreVersion after);

	}

}
