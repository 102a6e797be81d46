package io.whinjunction.router;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.store.StoreVersion;

/**
 * Reads the list of upstreams and its changes from the platform's store: whole at the
 * start, where the store's history is gone and where it has come back from an older copy,
 * then by looks and waits.
 * <p>
 * A wait brings changes at once and proves nothing while it is open: it may have been
 * lost on a connection that went silent. A look is answered at once and proves the list,
 * for this router and for those that hear of it. {@link ListWatchRotation} says who waits
 * and who looks when.
 * <p>
 * Invariants: at most one list or look and at most one wait are under way; each answer is
 * dated by its question. Confined to the event loop.
 */
final class ListReader {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long a wait is open, in milliseconds; a call each. */
	private static final long WAIT_MS = 5000;

	/** How long the store may wait with the answer to a look, in milliseconds. */
	private static final long LOOK_MS = 1;

	/**
	 * The pause between a change and the next wait, in milliseconds: in a burst, each
	 * change would be a call of its own.
	 */
	private static final long GATHER_MS = 400;

	/**
	 * What each router of the fleet adds to the time over which lists are spread after
	 * the store came back, in milliseconds: all routers hear of it within moments.
	 */
	private static final long RELIST_MS_PER_ROUTER = 10;

	/**
	 * The most of that time, as a part of the time for which a leaving upstream serves.
	 */
	private static final double RELIST_PART = 0.4;

	/** The pause before a list that failed is asked for again, in milliseconds. */
	private static final long RETRY_MS = 250;

	private final RouterContext router;

	private final FleetStore store;

	private final Reader reader;

	private final BooleanSupplier leads;

	private final long drainMs;

	private final ListWatchRotation rota;

	private boolean asking;

	private boolean waiting;

	private boolean gathering;

	private boolean relisting;

	private final RandomGenerator random;

	private ScheduledFuture<?> next;

	/**
	 * A reader.
	 * @param router the other routers and the clocks
	 * @param store where the list is
	 * @param reader takes what was read
	 * @param leads whether this router plans layers, and so has to know of changes first
	 * @param drainMs how long an upstream that leaves still serves, in milliseconds
	 * @param random the source of chance
	 */
	ListReader(RouterContext router, FleetStore store, Reader reader, BooleanSupplier leads, long drainMs,
			RandomGenerator random) {
		this.router = router;
		this.store = store;
		this.reader = reader;
		this.leads = leads;
		this.drainMs = drainMs;
		this.random = random;
		this.rota = new ListWatchRotation(drainMs, random);
	}

	/**
	 * Whether this router is one of the few that ask the store sooner than the others.
	 * @return {@code false} also where there are no others
	 */
	boolean runsAhead() {
		return waits() && ListWatchRotation.leavesFollowers(this.router.peers().routerCount(this.router.nowMs()));
	}

	/**
	 * Whether this router waits at the store for changes.
	 * @return {@code true} also between a change and the next wait
	 */
	boolean waits() {
		return this.waiting || this.gathering;
	}

	/** Reads the whole list, and goes on from there. */
	void list() {
		if (this.asking) {
			in(RETRY_MS, this::list);
			return;
		}
		this.relisting = false;
		this.asking = true;
		long askedBootMs = this.router.bootMs();
		this.store.listUpstreams((reply) -> listed(reply, askedBootMs));
	}

	private void listed(StoreReply<UpstreamListing> reply, long askedBootMs) {
		this.asking = false;
		if (reply instanceof StoreReply.Found<UpstreamListing> found) {
			this.reader.listed(found.value(), askedBootMs);
			waitWhereFewDo();
			step();
		}
		else {
			logger.atWarning().log("event=list-failed reason=\"%s\"", reply);
			in(RETRY_MS, this::list);
		}
	}

	/** Lists anew a while after the store came back, each router at a time of its own. */
	void relist() {
		long routers = this.router.peers().routerCount(this.router.nowMs());
		long spreadMs = Math.min(RELIST_MS_PER_ROUTER * routers, (long) (RELIST_PART * this.drainMs));
		this.relisting = true;
		in(this.random.nextLong(Math.max(1, spreadMs)), this::list);
	}

	private void step() {
		if (this.asking || this.relisting) {
			return;
		}
		if (this.leads.getAsBoolean() && !waits()) {
			waitForChanges();
		}
		long pauseMs = this.rota.pollDelayMs(this.reader.ageMs(), runsAhead());
		if (pauseMs > 0) {
			in(pauseMs, this::step);
		}
		else {
			look();
		}
	}

	private void in(long pauseMs, Runnable step) {
		if (this.next != null) {
			this.next.cancel(false);
		}
		this.next = this.router.loop().schedule(step, pauseMs, TimeUnit.MILLISECONDS);
	}

	private void look() {
		this.asking = true;
		long askedBootMs = this.router.bootMs();
		this.store.watchUpstreams(this.reader.version(), LOOK_MS, (reply) -> looked(reply, askedBootMs));
	}

	private void looked(StoreReply<UpstreamChanges> reply, long askedBootMs) {
		this.asking = false;
		switch (reply) {
			case StoreReply.Found<UpstreamChanges> found -> {
				this.reader.changed(found.value(), askedBootMs);
				waitWhereFewDo();
				step();
			}
			case StoreReply.Outdated<UpstreamChanges> ignored -> outdated();
			default -> {
				failed("look", reply);
				retryLook();
			}
		}
	}

	private void retryLook() {
		if (!this.relisting) {
			in(WatchPause.ms(this.router.peers().routerCount(this.router.nowMs()), this.drainMs), this::step);
		}
	}

	private void waitWhereFewDo() {
		if (waits() || this.relisting) {
			return;
		}
		double others = this.router.peers().listWatchers(this.router.nowMs());
		if (this.leads.getAsBoolean() || this.rota.shouldWatch(others)) {
			logger.atInfo().log("event=list-wait-begun others=%.1f version=%s", others, this.reader.version());
			waitForChanges();
		}
	}

	private void waitForChanges() {
		this.gathering = false;
		this.waiting = true;
		long askedBootMs = this.router.bootMs();
		this.store.watchUpstreams(this.reader.version(), WAIT_MS, (reply) -> waited(reply, askedBootMs));
	}

	private void waited(StoreReply<UpstreamChanges> reply, long askedBootMs) {
		this.waiting = false;
		switch (reply) {
			case StoreReply.Found<UpstreamChanges> found -> {
				this.reader.changed(found.value(), askedBootMs);
				goOnWaiting(found.value().size() > 0);
			}
			case StoreReply.Outdated<UpstreamChanges> ignored -> outdated();
			// The next look shows whether the store can be reached again.
			default -> failed("wait", reply);
		}
	}

	private void goOnWaiting(boolean changed) {
		double others = this.router.peers().listWatchers(this.router.nowMs());
		if (!this.leads.getAsBoolean() && !this.rota.shouldWatch(others)) {
			logger.atInfo().log("event=list-wait-left others=%.1f version=%s", others, this.reader.version());
		}
		else if (changed) {
			this.gathering = true;
			this.router.loop().schedule(this::waitForChanges, GATHER_MS, TimeUnit.MILLISECONDS);
		}
		else {
			waitForChanges();
		}
	}

	private void outdated() {
		if (this.relisting) {
			return;
		}
		logger.atWarning().log("event=list-outdated version=%s", this.reader.version());
		list();
	}

	private void failed(String call, StoreReply<UpstreamChanges> reply) {
		logger.atWarning()
			.log("event=list-%s-failed reason=\"%s\" version=%s age-ms=%d", call, reply, this.reader.version(),
					this.reader.ageMs());
	}

	/** Whose list it is; called on the event loop. */
	interface Reader {

		/**
		 * The version from which on changes are wanted.
		 * @return the version; {@link StoreVersion#NONE} before the first list
		 */
		StoreVersion version();

		/**
		 * How long ago the list was the newest for certain.
		 * @return milliseconds
		 */
		long ageMs();

		/**
		 * Takes a whole list.
		 * @param listing the list
		 * @param askedBootMs when it was asked for, on the clock of proofs
		 */
		void listed(UpstreamListing listing, long askedBootMs);

		/**
		 * Takes changes; those that are late or doubled change nothing.
		 * @param changes the changes
		 * @param askedBootMs when they were asked for, on the clock of proofs
		 */
		void changed(UpstreamChanges changes, long askedBootMs);

	}

}
