package io.whinjunction.router;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.store.StoreVersion;

/**
 * Reads the list of upstreams and its changes from the platform's store. The full list is
 * read at the start, when the store's history has been discarded and when the store was
 * restored from an older copy; after that, polls and watches read the changes.
 * <p>
 * A watch delivers changes at once but proves nothing while it is open, because it may
 * have been lost on a connection that went silent. A poll is answered immediately and
 * proves the list, for this router and for the peers that receive its proof.
 * {@link ListWatchRotation} decides which routers watch and when each of them polls.
 * <p>
 * Invariants: at most one list or poll and at most one watch are pending; each reply
 * counts as of the time of its request. Confined to the event loop.
 */
final class UpstreamListReader {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long a watch stays open, in milliseconds. Each watch is one call. */
	private static final long WATCH_MS = 5000;

	/** How long the store may wait for a change in a poll, in milliseconds. */
	private static final long POLL_WAIT_MS = 1;

	/**
	 * Delay between a change and the next watch, in milliseconds. Without it, each change
	 * of a burst would be a separate call.
	 */
	private static final long BATCH_MS = 400;

	/**
	 * Contribution of each router of the fleet to the jitter of lists after a restore of
	 * the store, in milliseconds: all routers learn of the restore almost at the same
	 * time.
	 */
	private static final long RELIST_JITTER_MS_PER_ROUTER = 10;

	/**
	 * Upper bound of that jitter, as a ratio of the time for which a leaving upstream
	 * serves.
	 */
	private static final double MAX_RELIST_JITTER_RATIO = 0.4;

	/** Delay before a failed list is requested again, in milliseconds. */
	private static final long RETRY_MS = 250;

	private final RouterContext router;

	private final FleetStore store;

	private final ListHolder holder;

	private final BooleanSupplier leading;

	private final long drainMs;

	private final ListWatchRotation rotation;

	private boolean requestPending;

	private boolean watchOpen;

	private boolean batching;

	private boolean relisting;

	private final RandomGenerator random;

	private ScheduledFuture<?> next;

	/**
	 * Creates a reader.
	 * @param router the peers and the clocks
	 * @param store the store of the list
	 * @param holder receives what was read
	 * @param leading whether this router plans layers and therefore must learn of changes
	 * first
	 * @param drainMs how long a leaving upstream still serves, in milliseconds
	 * @param random the source of randomness
	 */
	UpstreamListReader(RouterContext router, FleetStore store, ListHolder holder, BooleanSupplier leading, long drainMs,
			RandomGenerator random) {
		this.router = router;
		this.store = store;
		this.holder = holder;
		this.leading = leading;
		this.drainMs = drainMs;
		this.random = random;
		this.rotation = new ListWatchRotation(drainMs, random);
	}

	/**
	 * Returns whether this router is one of the few that read the store earlier than the
	 * others.
	 * @return {@code false} also if there are no others
	 */
	boolean readsEarly() {
		return watching() && ListWatchRotation.leavesFollowers(this.router.peers().routerCount(this.router.nowMs()));
	}

	/**
	 * Returns whether this router watches the store for changes.
	 * @return {@code true} also between a change and the next watch
	 */
	boolean watching() {
		return this.watchOpen || this.batching;
	}

	/** Reads the full list, then continues with polls and watches. */
	void list() {
		if (this.requestPending) {
			schedule(RETRY_MS, this::list);
			return;
		}
		this.relisting = false;
		this.requestPending = true;
		long requestedBootMs = this.router.bootMs();
		this.store.listUpstreams((reply) -> listed(reply, requestedBootMs));
	}

	private void listed(StoreReply<UpstreamListing> reply, long requestedBootMs) {
		this.requestPending = false;
		if (reply instanceof StoreReply.Found<UpstreamListing> found) {
			this.holder.listed(found.value(), requestedBootMs);
			watchIfNeeded();
			pollIfDue();
		}
		else {
			logger.atWarning().log("event=list-failed reason=\"%s\"", reply);
			schedule(RETRY_MS, this::list);
		}
	}

	/** Requests the full list after a restore of the store, after a random delay. */
	void relist() {
		long routers = this.router.peers().routerCount(this.router.nowMs());
		long jitterMs = Math.min(RELIST_JITTER_MS_PER_ROUTER * routers,
				(long) (MAX_RELIST_JITTER_RATIO * this.drainMs));
		this.relisting = true;
		schedule(this.random.nextLong(Math.max(1, jitterMs)), this::list);
	}

	private void pollIfDue() {
		if (this.requestPending || this.relisting) {
			return;
		}
		if (this.leading.getAsBoolean() && !watching()) {
			watch();
		}
		long pauseMs = this.rotation.pollDelayMs(this.holder.ageMs(), readsEarly());
		if (pauseMs > 0) {
			schedule(pauseMs, this::pollIfDue);
		}
		else {
			poll();
		}
	}

	private void schedule(long pauseMs, Runnable action) {
		if (this.next != null) {
			this.next.cancel(false);
		}
		this.next = this.router.loop().schedule(action, pauseMs, TimeUnit.MILLISECONDS);
	}

	private void poll() {
		this.requestPending = true;
		long requestedBootMs = this.router.bootMs();
		this.store.watchUpstreams(this.holder.version(), POLL_WAIT_MS, (reply) -> polled(reply, requestedBootMs));
	}

	private void polled(StoreReply<UpstreamChanges> reply, long requestedBootMs) {
		this.requestPending = false;
		switch (reply) {
			case StoreReply.Found<UpstreamChanges> found -> {
				this.holder.changed(found.value(), requestedBootMs);
				watchIfNeeded();
				pollIfDue();
			}
			case StoreReply.Outdated<UpstreamChanges> ignored -> outdated();
			default -> {
				failed("look", reply);
				retryPoll();
			}
		}
	}

	private void retryPoll() {
		if (!this.relisting) {
			schedule(WatchRetryDelay.ms(this.router.peers().routerCount(this.router.nowMs()), this.drainMs),
					this::pollIfDue);
		}
	}

	private void watchIfNeeded() {
		if (watching() || this.relisting) {
			return;
		}
		double others = this.router.peers().listWatchers(this.router.nowMs());
		if (this.leading.getAsBoolean() || this.rotation.shouldWatch(others)) {
			logger.atInfo().log("event=list-wait-begun others=%.1f version=%s", others, this.holder.version());
			watch();
		}
	}

	private void watch() {
		this.batching = false;
		this.watchOpen = true;
		long requestedBootMs = this.router.bootMs();
		this.store.watchUpstreams(this.holder.version(), WATCH_MS, (reply) -> watchReturned(reply, requestedBootMs));
	}

	private void watchReturned(StoreReply<UpstreamChanges> reply, long requestedBootMs) {
		this.watchOpen = false;
		switch (reply) {
			case StoreReply.Found<UpstreamChanges> found -> {
				this.holder.changed(found.value(), requestedBootMs);
				continueWatching(found.value().size() > 0);
			}
			case StoreReply.Outdated<UpstreamChanges> ignored -> outdated();
			// The next poll shows whether the store can be reached again.
			default -> failed("wait", reply);
		}
	}

	private void continueWatching(boolean changed) {
		double others = this.router.peers().listWatchers(this.router.nowMs());
		if (!this.leading.getAsBoolean() && !this.rotation.shouldWatch(others)) {
			logger.atInfo().log("event=list-wait-left others=%.1f version=%s", others, this.holder.version());
		}
		else if (changed) {
			this.batching = true;
			this.router.loop().schedule(this::watch, BATCH_MS, TimeUnit.MILLISECONDS);
		}
		else {
			watch();
		}
	}

	private void outdated() {
		if (this.relisting) {
			return;
		}
		logger.atWarning().log("event=list-outdated version=%s", this.holder.version());
		list();
	}

	private void failed(String call, StoreReply<UpstreamChanges> reply) {
		logger.atWarning()
			.log("event=list-%s-failed reason=\"%s\" version=%s age-ms=%d", call, reply, this.holder.version(),
					this.holder.ageMs());
	}

	/** Holder of the list. Called on the event loop. */
	interface ListHolder {

		/**
		 * Returns the version after which changes are to be read.
		 * @return the version; {@link StoreVersion#NONE} before the first list
		 */
		StoreVersion version();

		/**
		 * Returns how long ago the list was last proved to be the newest.
		 * @return milliseconds
		 */
		long ageMs();

		/**
		 * Receives the full list.
		 * @param listing the list
		 * @param requestedBootMs when it was requested, on the clock of proofs
		 */
		void listed(UpstreamListing listing, long requestedBootMs);

		/**
		 * Receives changes; outdated or duplicate ones have no effect.
		 * @param changes the changes
		 * @param requestedBootMs when they were requested, on the clock of proofs
		 */
		void changed(UpstreamChanges changes, long requestedBootMs);

	}

}
