package io.whinjunction.router;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;

/**
 * Keeps the directory of upstreams as the platform's store has it: lists and changes,
 * read by a {@link ListReader} and told by other routers.
 * <p>
 * Invariants: the revision never goes down; changes are applied only to a list that they
 * reach back to, so that none is left out; the list is proved by answers only, each as of
 * its question. Confined to the event loop.
 */
final class DirectoryKeeper {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between two questions for changes, in milliseconds. */
	private static final long ASK_PAUSE_MS = 100;

	/** The pause between two lines about changes that are passed over, in seconds. */
	private static final int PASSED_OVER_LOG_S = 5;

	private static final long NOT_ASKED = -1;

	private static final String FROM_STORE = "store";

	private static final String FROM_ROUTER = "router";

	private final RouterContext router;

	private final Listener listener;

	private final ListReader reader;

	private final RecentChanges recent = new RecentChanges();

	private long revision;

	/** The revision with which the list last changed. */
	private long changedAt;

	private boolean listed;

	/** When this revision was the newest for certain, on the clock of proofs. */
	private long provedAtMs;

	private long askedAtMs = Long.MIN_VALUE / 2;

	/** The revision that was asked about last; {@link #NOT_ASKED} where none is open. */
	private long askedRevision = NOT_ASKED;

	/**
	 * A keeper.
	 * @param router the directory, the other routers and the clocks
	 * @param store where the list is
	 * @param listener hears of changes, and asks other routers
	 * @param leads whether this router plans layers, and so has to know of changes first
	 * @param drainMs how long an upstream that leaves still serves, in milliseconds
	 */
	DirectoryKeeper(RouterContext router, FleetStore store, Listener listener, BooleanSupplier leads, long drainMs) {
		this.router = router;
		this.listener = listener;
		this.reader = new ListReader(router, store, new Read(), leads, drainMs);
	}

	boolean listed() {
		return this.listed;
	}

	/**
	 * How this router knows the list.
	 * @return its revision and the age of the proof that it is the newest
	 */
	ListState state() {
		return this.listed ? new ListState(this.revision, this.changedAt, ageMs(), this.reader.waits())
				: ListState.NONE;
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
			this.revision = listing.revision();
			this.changedAt = this.revision;
			this.listed = true;
			this.listener.changed();
		}
		else if (listing.revision() > this.revision) {
			apply(this.router.directory().changesTo(listing, this.revision), FROM_STORE);
		}
		proved(askedBootMs);
		logger.atInfo()
			.log("event=upstreams-listed count=%d revision=%d", this.router.directory().size(), this.revision);
	}

	private void proved(long askedBootMs) {
		this.provedAtMs = Math.max(this.provedAtMs, askedBootMs);
	}

	private void apply(UpstreamChanges changes, String source) {
		if (changes.size() == 0) {
			unchangedUntil(changes.revision());
			return;
		}
		this.recent.add(changes, this.revision);
		this.router.directory().change(changes);
		this.revision = changes.revision();
		this.changedAt = this.revision;
		logger.atInfo()
			.log("event=upstreams-changed changed=%d removed=%s revision=%d from=%s", changes.changed().size(),
					changes.removed(), this.revision, source);
		this.listener.changed();
	}

	// The revision goes on all the same: the store forgets what lies too far back.
	private void unchangedUntil(long newer) {
		this.recent.unchanged(this.revision, newer);
		this.revision = newer;
	}

	/**
	 * Hears how another router knows the list.
	 * @param address where it takes messages
	 * @param theirs what it said
	 * @param theirProvedAtMs when its revision was the newest for certain, on the clock
	 * of proofs
	 */
	void heard(String address, ListState theirs, long theirProvedAtMs) {
		if (!this.listed) {
			return;
		}
		if (theirs.changedAt() <= this.revision) {
			proved(theirProvedAtMs);
			if (theirs.revision() > this.revision) {
				unchangedUntil(theirs.revision());
			}
		}
		else if (this.router.nowMs() - this.askedAtMs >= ASK_PAUSE_MS) {
			this.askedAtMs = this.router.nowMs();
			this.askedRevision = this.revision;
			this.listener.askForChanges(address, this.revision);
		}
	}

	/**
	 * What changed after a revision, for another router.
	 * @param afterRevision the revision that it has
	 * @return the changes, where they are known
	 */
	UpstreamChanges changesAfter(long afterRevision) {
		return this.recent.after(afterRevision);
	}

	/**
	 * Takes what another router says has changed.
	 * @param changes the changes; those that weren't asked for, are old, doubled or don't
	 * reach back to this router's list change nothing. Where the other one doesn't know
	 * them, the next one that is heard is asked, or in the end the store
	 */
	void told(UpstreamChanges changes) {
		boolean asked = this.listed && changes.afterRevision() == this.askedRevision;
		if (asked && changes.extend(this.revision)) {
			apply(changes, FROM_ROUTER);
		}
		else if (!asked || !changes.unknown()) {
			logger.atWarning()
				.atMostEvery(PASSED_OVER_LOG_S, TimeUnit.SECONDS)
				.log("event=changes-passed-over after=%d to=%d asked=%d held=%d", changes.afterRevision(),
						changes.revision(), this.askedRevision, this.revision);
		}
		this.askedRevision = asked ? NOT_ASKED : this.askedRevision;
	}

	/** What is read from the store. */
	private final class Read implements ListReader.Reader {

		@Override
		public long revision() {
			return DirectoryKeeper.this.revision;
		}

		@Override
		public long ageMs() {
			return DirectoryKeeper.this.ageMs();
		}

		@Override
		public void listed(UpstreamListing listing, long askedBootMs) {
			DirectoryKeeper.this.listed(listing, askedBootMs);
		}

		@Override
		public void changed(UpstreamChanges changes, long askedBootMs) {
			proved(askedBootMs);
			if (changes.extend(DirectoryKeeper.this.revision)) {
				apply(changes, FROM_STORE);
				if (changes.size() > 0) {
					DirectoryKeeper.this.listener.tellOthers();
				}
			}
		}

	}

	/** What the keeper wants of others; called on the event loop. */
	interface Listener {

		/** The directory has changed. */
		void changed();

		/** Other routers should hear of the newest revision at once. */
		void tellOthers();

		/**
		 * Another router has a later revision.
		 * @param address where it takes messages
		 * @param afterRevision the revision that this router has
		 */
		void askForChanges(String address, long afterRevision);

	}

}
