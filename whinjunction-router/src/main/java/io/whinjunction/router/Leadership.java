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
 * {@link LeaseCandidate} decides; this class makes the calls. The holder renews without
 * reading; candidates look at the store only while no router says that it leads. Stale
 * reads would not do: in a spell of old history a lease that nobody held looked renewed
 * for seven seconds. Confined to the event loop.
 */
final class Leadership {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * After how long without renewal another takes over, in milliseconds: a few lost
	 * replies, and short enough that a hole which appears with its loss is filled soon.
	 */
	static final long TIME_TO_LIVE_MS = 1800;

	/** The pause between renewals: three fall into the part in which a holder acts. */
	private static final long RENEW_MS = 400;

	/** The pause between looks of a candidate, in milliseconds. */
	private static final long LOOK_MS = 400;

	private final EventLoop loop;

	private final FleetStore store;

	private final String name;

	private final Ticker ticker;

	private final BooleanSupplier otherLeads;

	private final LeaseCandidate term;

	private boolean leading;

	private boolean stopped;

	/**
	 * A candidate.
	 * @param loop the event loop
	 * @param store where the lease is
	 * @param name this process
	 * @param ticker the clock
	 * @param otherLeads whether another one says that it leads
	 */
	Leadership(EventLoop loop, FleetStore store, String name, Ticker ticker, BooleanSupplier otherLeads) {
		this.loop = loop;
		this.store = store;
		this.name = name;
		this.ticker = ticker;
		this.otherLeads = otherLeads;
		this.term = new LeaseCandidate(name, TIME_TO_LIVE_MS);
	}

	void start() {
		step();
	}

	boolean holds() {
		return !this.stopped && this.term.holds(this.ticker.nowMs());
	}

	long fencing() {
		return this.term.fencing();
	}

	/** Gives the lease up for good, so that another need not wait. */
	void stop() {
		boolean held = holds();
		this.stopped = true;
		if (held) {
			this.term.renewal(this.ticker.nowMs()).ifPresent(this::giveUp);
		}
	}

	private void giveUp(LeaseCandidate.Claim claim) {
		LeaseObject free = new LeaseObject("", claim.fencing(), nonce(), claim.expectedVersion());
		// Where the reply is lost, the lease lapses by itself.
		this.store.writeLease(free, (reply) -> logger.atInfo().log("event=lease-given-up reply=\"%s\"", reply));
	}

	/** The store has come back from an older copy: whoever led does so no more. */
	void storeReturned() {
		this.term.storeRestored(this.ticker.nowMs());
		noteLeading(false);
	}

	/** An engine has refused an order because another holder has given some. */
	void fenced() {
		logger.atWarning().log("event=fenced fencing=%d", this.term.fencing());
		this.term.lost();
	}

	private void step() {
		if (this.stopped) {
			return;
		}
		long nowMs = this.ticker.nowMs();
		noteLeading(this.term.holds(nowMs));
		Optional<LeaseCandidate.Claim> renewal = this.term.renewal(nowMs);
		if (renewal.isPresent()) {
			write(renewal.get(), nowMs);
		}
		else if (this.otherLeads.getAsBoolean() && !this.term.heldAtRestore()) {
			again(LOOK_MS);
		}
		else {
			this.store.readLease(this::take);
		}
	}

	private void take(StoreReply<LeaseObject> reply) {
		switch (reply) {
			case StoreReply.Found<LeaseObject> found -> {
				LeaseObject lease = found.value();
				claim(this.term.seen(lease.holder(), lease.fencing(), lease.version(), this.ticker.nowMs()));
			}
			case StoreReply.Absent<LeaseObject> ignored ->
				claim(this.term.absent(this.store.era().current(), this.ticker.nowMs()));
			default -> again(LOOK_MS);
		}
	}

	private void claim(Optional<LeaseCandidate.Claim> claim) {
		claim.ifPresentOrElse((present) -> write(present, this.ticker.nowMs()), () -> again(LOOK_MS));
	}

	private void write(LeaseCandidate.Claim claim, long startMs) {
		if (this.stopped) {
			return;
		}
		String nonce = nonce();
		this.store.writeLease(new LeaseObject(this.name, claim.fencing(), nonce, claim.expectedVersion()),
				(reply) -> written(reply, claim, nonce, startMs));
	}

	private void written(StoreReply<LeaseObject> reply, LeaseCandidate.Claim claim, String nonce, long startMs) {
		switch (reply) {
			case StoreReply.Found<LeaseObject> found -> confirm(claim, found.value().version(), startMs);
			case StoreReply.Unavailable<LeaseObject> ignored ->
				// The reply may have been lost and the write done: the nonce tells.
				this.store.readLease((readBack) -> {
					if (readBack instanceof StoreReply.Found<LeaseObject> found && found.value().nonce().equals(nonce)
							&& found.value().version().era() == claim.expectedVersion().era()) {
						confirm(claim, found.value().version(), startMs);
					}
					else {
						again(RENEW_MS);
					}
				});
			default -> {
				this.term.lost();
				noteLeading(false);
				again(LOOK_MS);
			}
		}
	}

	private void confirm(LeaseCandidate.Claim claim, StoreVersion version, long startMs) {
		this.term.written(claim, version, startMs);
		noteLeading(true);
		again(RENEW_MS);
	}

	private static String nonce() {
		return UUID.randomUUID().toString();
	}

	private void again(long pauseMs) {
		this.loop.schedule(this::step, pauseMs, TimeUnit.MILLISECONDS);
	}

	private void noteLeading(boolean now) {
		if (now != this.leading) {
			this.leading = now;
			logger.atInfo().log("event=%s fencing=%d", now ? "leading" : "not-leading", this.term.fencing());
		}
	}

}
