package io.whinjunction.router;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Keeps the directory of upstreams as the platform's store has it: one list at the start,
 * then changes, read from the store where {@link ListWatchRota} says so and told by other
 * routers elsewhere; a list again where the store's history is gone.
 * <p>
 * Invariants: the revision never goes down; changes are applied only to a list that they
 * reach back to, so that none is left out. Confined to the event loop.
 */
final class DirectoryKeeper {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long one watch waits, in milliseconds; a call each. The store's own limit is
	 * higher, but connections that went silent are only found when a watch should have
	 * ended, and until then its router tells others that nothing has changed.
	 */
	private static final long WATCH_MS = 5000;

	/**
	 * The pause between a change and the next watch, in milliseconds: in a burst, each
	 * change would be a call of its own.
	 */
	private static final long GATHER_MS = 400;

	/** The pause before a list that failed is asked for again, in milliseconds. */
	private static final long RETRY_MS = 250;

	/** The pause between two questions for changes, in milliseconds. */
	private static final long ASK_PAUSE_MS = 100;

	/** The pause between two lines about changes that are passed over, in seconds. */
	private static final int PASSED_OVER_LOG_S = 5;

	private static final long NOT_ASKED = -1;

	private static final String FROM_STORE = "store";

	private static final String FROM_ROUTER = "router";

	private final RouterContext router;

	private final FleetStore store;

	private final Listener listener;

	private final BooleanSupplier leads;

	private final long drainMs;

	private final ListWatchRota rota;

	private final RecentChanges recent = new RecentChanges();

	private long revision;

	/** The revision with which the list last changed. */
	private long changedAt;

	private boolean listed;

	private boolean listing;

	private boolean watching;

	/** When this revision was the newest for certain, on the clock of proofs. */
	private long provedAtMs;

	private long askedAtMs = Long.MIN_VALUE / 2;

	/** The revision that was asked about last; {@link #NOT_ASKED} where none is open. */
	private long askedRevision = NOT_ASKED;

	private ScheduledFuture<?> next;

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
		this.store = store;
		this.listener = listener;
		this.leads = leads;
		this.drainMs = drainMs;
		this.rota = new ListWatchRota(drainMs, RandomGenerator.getDefault());
	}

	boolean listed() {
		return this.listed;
	}

	/**
	 * How this router knows the list.
	 * @return its revision and the age of the proof that it is the newest
	 */
	ListState state() {
		return this.listed ? new ListState(this.revision, this.changedAt, ageMs(), this.watching) : ListState.NONE;
	}

	// While the store is waited at, it would have said that something has changed.
	private long ageMs() {
		return this.watching ? 0 : this.router.bootMs() - this.provedAtMs;
	}

	void start() {
		list();
	}

	private void list() {
		if (this.listing) {
			return;
		}
		this.listing = true;
		long askedBootMs = this.router.bootMs();
		this.store.listUpstreams((reply) -> takeList(reply, askedBootMs));
	}

	private void takeList(StoreReply<UpstreamListing> reply, long askedBootMs) {
		this.listing = false;
		if (!(reply instanceof StoreReply.Found<UpstreamListing> found)) {
			logger.atWarning().log("event=list-failed reason=\"%s\"", reply);
			this.router.loop().schedule(this::list, RETRY_MS, TimeUnit.MILLISECONDS);
			return;
		}
		UpstreamListing listing = found.value();
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
		this.provedAtMs = Math.max(this.provedAtMs, askedBootMs);
		logger.atInfo()
			.log("event=upstreams-listed count=%d revision=%d", this.router.directory().size(), this.revision);
		goOn(false);
	}

	private void step() {
		if (this.watching || this.listing) {
			return;
		}
		long pauseMs = this.leads.getAsBoolean() ? 0 : this.rota.pauseMs(ageMs());
		if (pauseMs > 0) {
			in(pauseMs, this::step);
		}
		else {
			logger.atInfo().log("event=list-watch-begun age-ms=%d revision=%d", ageMs(), this.revision);
			watch();
		}
	}

	private void in(long pauseMs, Runnable step) {
		if (this.next != null) {
			this.next.cancel(false);
		}
		this.next = this.router.loop().schedule(step, pauseMs, TimeUnit.MILLISECONDS);
	}

	private void watch() {
		if (!this.watching) {
			this.watching = true;
			this.store.watchUpstreams(this.revision, WATCH_MS, this::takeChanges);
		}
	}

	private void takeChanges(StoreReply<UpstreamChanges> reply) {
		this.watching = false;
		switch (reply) {
			case StoreReply.Found<UpstreamChanges> found -> {
				this.provedAtMs = this.router.bootMs();
				takeWatched(found.value());
				goOn(found.value().size() > 0);
			}
			case StoreReply.Outdated<UpstreamChanges> ignored -> {
				logger.atWarning().log("event=watch-outdated revision=%d", this.revision);
				list();
			}
			default -> {
				logger.atWarning().log("event=watch-failed reason=\"%s\" revision=%d", reply, this.revision);
				in(WatchPause.ms(this.router.peers().sharers(this.router.nowMs()), this.drainMs), this::step);
			}
		}
	}

	private void takeWatched(UpstreamChanges changes) {
		if (changes.extend(this.revision)) {
			apply(changes, FROM_STORE);
			if (changes.size() > 0) {
				this.listener.tellOthers();
			}
		}
	}

	// Whoever has just listed or watched waits at the store while few others do, so that
	// a router that is alone misses nothing.
	private void goOn(boolean changed) {
		double others = this.router.peers().listWatchers(this.router.nowMs());
		boolean goesOn = this.leads.getAsBoolean() || this.rota.goesOn(others);
		if (goesOn && changed) {
			in(GATHER_MS, this::watch);
		}
		else if (goesOn) {
			watch();
		}
		else {
			logger.atInfo().log("event=list-watch-left others=%.1f revision=%d", others, this.revision);
			step();
		}
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
			this.provedAtMs = Math.max(this.provedAtMs, theirProvedAtMs);
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
