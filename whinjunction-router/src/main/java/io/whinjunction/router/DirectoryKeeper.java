package io.whinjunction.router;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

/**
 * Keeps the directory of upstreams as the platform's store has it: one list, then a watch
 * from its revision, and a list again where that history is gone.
 * <p>
 * Confined to the event loop.
 */
final class DirectoryKeeper {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long one watch waits, in milliseconds; a call each. The store's own limit is
	 * higher, but connections that went silent are only found when a watch should have
	 * ended.
	 */
	private static final long WATCH_MS = 15_000;

	/** The pause after a call that failed, in milliseconds. */
	private static final long RETRY_MS = 250;

	private final EventLoop loop;

	private final FleetStore store;

	private final UpstreamDirectory directory;

	private final Runnable changed;

	private final LongSupplier pauseMs;

	private long revision;

	private boolean listed;

	private boolean stopped;

	/**
	 * A keeper.
	 * @param loop the event loop
	 * @param store where the list is
	 * @param directory what to keep
	 * @param changed is run after each change
	 * @param pauseMs the pause between a change and the next watch, in milliseconds
	 */
	DirectoryKeeper(EventLoop loop, FleetStore store, UpstreamDirectory directory, Runnable changed,
			LongSupplier pauseMs) {
		this.pauseMs = pauseMs;
		this.loop = loop;
		this.store = store;
		this.directory = directory;
		this.changed = changed;
	}

	boolean listed() {
		return this.listed;
	}

	void start() {
		list();
	}

	void stop() {
		this.stopped = true;
	}

	private void list() {
		if (!this.stopped) {
			this.store.listUpstreams(this::takeList);
		}
	}

	private void takeList(StoreReply<UpstreamListing> reply) {
		if (reply instanceof StoreReply.Found<UpstreamListing> found) {
			this.directory.replace(found.value().upstreams());
			this.revision = found.value().revision();
			this.listed = true;
			logger.atInfo().log("event=upstreams-listed count=%d revision=%d", this.directory.size(), this.revision);
			this.changed.run();
			watch();
			return;
		}
		logger.atWarning().log("event=list-failed reason=\"%s\"", reply);
		this.loop.schedule(this::list, RETRY_MS, TimeUnit.MILLISECONDS);
	}

	private void watch() {
		if (!this.stopped) {
			this.store.watchUpstreams(this.revision, WATCH_MS, this::takeChanges);
		}
	}

	private void takeChanges(StoreReply<UpstreamChanges> reply) {
		switch (reply) {
			case StoreReply.Found<UpstreamChanges> found -> {
				this.revision = found.value().revision();
				if (!found.value().changed().isEmpty() || !found.value().removed().isEmpty()) {
					this.directory.change(found.value());
					logger.atInfo()
						.log("event=upstreams-changed changed=%d removed=%s revision=%d",
								found.value().changed().size(), found.value().removed(), this.revision);
					this.changed.run();
				}
				this.loop.schedule(this::watch, this.pauseMs.getAsLong(), TimeUnit.MILLISECONDS);
			}
			case StoreReply.Outdated<UpstreamChanges> ignored -> {
				logger.atWarning().log("event=watch-outdated revision=%d", this.revision);
				list();
			}
			default -> {
				logger.atWarning().log("event=watch-failed reason=\"%s\" revision=%d", reply, this.revision);
				this.loop.schedule(this::watch, RETRY_MS, TimeUnit.MILLISECONDS);
			}
		}
	}

}
