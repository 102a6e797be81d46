package io.whinjunction.router;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.whinjunction.lease.LeaseCandidate;
import io.whinjunction.store.StoreVersion;
import io.whinjunction.time.Ticker;

/**
 * Holds, or waits for, the lease under which one router plans layers.
 * <p>
 * {@link LeaseCandidate} decides; this class makes the calls. The holder renews the lease
 * without reading it. Candidates poll the store only while no router reports that it
 * leads. In a large fleet only a few of them do at first: if each router polled, the
 * calls of one change of the holder would grow with the fleet. The others follow if that
 * fails. Stale reads cannot be used for this: while the store served old history, a lease
 * that nobody held appeared to be renewed for seven seconds. Confined to the event loop.
 */
final class Leadership {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The time without renewal after which another router takes over, in milliseconds. It
	 * outlasts a few lost replies, and is short enough that a layer gap that appears
	 * together with the loss of the holder is filled soon.
	 */
	static final long TIME_TO_LIVE_MS = 1800;

	/**
	 * The interval between renewals, in milliseconds: three renewals fall into the part
	 * of the lease time during which a holder acts.
	 */
	private static final long RENEW_INTERVAL_MS = 400;

	/** The interval at which a candidate polls, in milliseconds. */
	private static final long POLL_INTERVAL_MS = 400;

	/**
	 * The number of routers of a fleet that poll the lease as soon as no router leads.
	 * Enough that some are left where a failure domain is gone or cut off from the store.
	 */
	static final int CANDIDATES = 8;

	/**
	 * How long no router must have led until the others poll the lease too, in
	 * milliseconds: by then a candidate that is alive has taken over, also after a short
	 * outage of the store, and peers know.
	 */
	static final long RESERVE_DELAY_MS = TIME_TO_LIVE_MS + 3200;

	/** How long peers are told of a release, in milliseconds. */
	private static final long RELEASE_TOLD_MS = 3000;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final EventLoop loop;

	private final FleetStore store;

	private final String name;

	private final Ticker ticker;

	private final BooleanSupplier peerLeads;

	private final BooleanSupplier able;

	private final LeaseCandidate candidate;

	private boolean leading;

	private boolean stopped;

	private long releasedAtMs = NEVER_MS;

	private boolean reserve;

	/** Since when no router leads, as far as this one knows; -1 while one does. */
	private long leaderlessSinceMs = -1;

	/**
	 * Creates a candidate.
	 * @param loop the event loop
	 * @param store stores the lease
	 * @param name the name of this process
	 * @param ticker the clock
	 * @param peerLeads returns whether a peer reports that it leads
	 * @param able returns whether this process reaches what its holder gives orders to
	 */
	Leadership(EventLoop loop, FleetStore store, String name, Ticker ticker, BooleanSupplier peerLeads,
			BooleanSupplier able) {
		this.loop = loop;
		this.store = store;
		this.name = name;
		this.ticker = ticker;
		this.peerLeads = peerLeads;
		this.able = able;
		this.candidate = new LeaseCandidate(name, TIME_TO_LIVE_MS);
	}

	void start() {
		step();
	}

	boolean holds() {
		return !this.stopped && this.able.getAsBoolean() && this.candidate.holds(this.ticker.nowMs());
	}

	long fencing() {
		return this.candidate.fencing();
	}

	/**
	 * Releases the lease permanently, so that another router need not wait until it
	 * expires.
	 */
	void stop() {
		boolean held = holds();
		this.stopped = true;
		if (held) {
			this.candidate.renewal(this.ticker.nowMs()).ifPresent(this::release);
		}
	}

	/**
	 * Releases the lease because this process does not reach what its holder gives orders
	 * to, and others do. It is a candidate again as soon as it does.
	 */
	void resign() {
		if (this.stopped || !this.candidate.holds(this.ticker.nowMs())) {
			return;
		}
		this.candidate.renewal(this.ticker.nowMs()).ifPresent(this::release);
		this.candidate.lost();
		this.releasedAtMs = this.ticker.nowMs();
		setLeading(false);
	}

	/**
	 * Returns how long ago this process released the lease so that others lead.
	 * @return milliseconds; -1 if it did not, or so long ago that all routers know
	 */
	long releaseAgeMs() {
		long ageMs = this.ticker.nowMs() - this.releasedAtMs;
		return (ageMs < RELEASE_TOLD_MS) ? ageMs : -1;
	}

	private void release(LeaseCandidate.Claim claim) {
		LeaseObject free = new LeaseObject("", claim.fencing(), nonce(), claim.expectedVersion());
		// If the reply is lost, the lease expires on its own.
		this.store.writeLease(free, (reply) -> logger.atInfo().log("event=lease-given-up reply=\"%s\"", reply));
	}

	/**
	 * Handles a store that was restored from an older copy: a previous holder no longer
	 * leads.
	 */
	void storeRestored() {
		this.candidate.storeRestored(this.ticker.nowMs());
		setLeading(false);
	}

	/**
	 * Handles an order that an engine refused because another holder has issued orders.
	 */
	void fenced() {
		logger.atWarning().log("event=fenced fencing=%d", this.candidate.fencing());
		this.candidate.lost();
	}

	private void step() {
		if (this.stopped) {
			return;
		}
		if (!this.able.getAsBoolean()) {
			resign();
			scheduleStep(POLL_INTERVAL_MS);
			return;
		}
		long nowMs = this.ticker.nowMs();
		setLeading(this.candidate.holds(nowMs));
		Optional<LeaseCandidate.Claim> renewal = this.candidate.renewal(nowMs);
		if (renewal.isPresent()) {
			write(renewal.get(), nowMs);
		}
		else if (leavesLeaseToOthers(nowMs) && !this.candidate.heldAtRestore()) {
			scheduleStep(POLL_INTERVAL_MS);
		}
		else {
			this.store.readLease(this::onRead);
		}
	}

	private boolean leavesLeaseToOthers(long nowMs) {
		if (this.peerLeads.getAsBoolean()) {
			this.leaderlessSinceMs = -1;
			return true;
		}
		if (this.leaderlessSinceMs < 0) {
			this.leaderlessSinceMs = nowMs;
		}
		return this.reserve && nowMs - this.leaderlessSinceMs < RESERVE_DELAY_MS;
	}

	/**
	 * Notes whether enough other routers poll the lease.
	 * @param candidate whether this router is one of {@link #CANDIDATES}
	 */
	void candidate(boolean candidate) {
		this.reserve = !candidate;
	}

	private void onRead(StoreReply<LeaseObject> reply) {
		switch (reply) {
			case StoreReply.Found<LeaseObject> found -> {
				LeaseObject lease = found.value();
				claim(this.candidate.seen(lease.holder(), lease.fencing(), lease.version(), this.ticker.nowMs()));
			}
			case StoreReply.Absent<LeaseObject> ignored ->
				claim(this.candidate.absent(this.store.era().current(), this.ticker.nowMs()));
			default -> scheduleStep(POLL_INTERVAL_MS);
		}
	}

	private void claim(Optional<LeaseCandidate.Claim> claim) {
		claim.ifPresentOrElse((present) -> write(present, this.ticker.nowMs()), () -> scheduleStep(POLL_INTERVAL_MS));
	}

	private void write(LeaseCandidate.Claim claim, long startMs) {
		if (this.stopped || !this.able.getAsBoolean()) {
			scheduleStep(POLL_INTERVAL_MS);
			return;
		}
		String nonce = nonce();
		this.store.writeLease(new LeaseObject(this.name, claim.fencing(), nonce, claim.expectedVersion()),
				(reply) -> onWritten(reply, claim, nonce, startMs));
	}

	private void onWritten(StoreReply<LeaseObject> reply, LeaseCandidate.Claim claim, String nonce, long startMs) {
		switch (reply) {
			case StoreReply.Found<LeaseObject> found -> confirm(claim, found.value().version(), startMs);
			case StoreReply.Unavailable<LeaseObject> ignored ->
				// The reply may have been lost after the write was done; the nonce
				// identifies the write.
				this.store.readLease((readBack) -> {
					if (readBack instanceof StoreReply.Found<LeaseObject> found && found.value().nonce().equals(nonce)
							&& found.value().version().era() == claim.expectedVersion().era()) {
						confirm(claim, found.value().version(), startMs);
					}
					else {
						scheduleStep(RENEW_INTERVAL_MS);
					}
				});
			default -> {
				this.candidate.lost();
				setLeading(false);
				scheduleStep(POLL_INTERVAL_MS);
			}
		}
	}

	private void confirm(LeaseCandidate.Claim claim, StoreVersion version, long startMs) {
		this.candidate.written(claim, version, startMs);
		setLeading(true);
		scheduleStep(RENEW_INTERVAL_MS);
	}

	private static String nonce() {
		return UUID.randomUUID().toString();
	}

	private void scheduleStep(long delayMs) {
		this.loop.schedule(this::step, delayMs, TimeUnit.MILLISECONDS);
	}

	private void setLeading(boolean now) {
		if (now != this.leading) {
			this.leading = now;
			logger.atInfo().log("event=%s fencing=%d", now ? "leading" : "not-leading", this.candidate.fencing());
		}
	}

}
