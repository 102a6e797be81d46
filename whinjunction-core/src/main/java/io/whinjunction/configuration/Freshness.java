package io.whinjunction.configuration;

import com.google.common.flogger.FluentLogger;

/**
 * Decides whether this entry may act on the configuration revision it holds.
 * <p>
 * Guards against an entry that is partitioned or was paused and continues with a place
 * rule that operators have tightened meanwhile, so that data goes where it must not. An
 * entry serves while it has a freshness proof, no older than the bound, that its revision
 * is the platform's current one. During an outage of the platform no proof can be
 * obtained, but the configuration cannot be changed either. An entry therefore also
 * serves while it exchanges state with peers and more than half of the fleet is alive in
 * its view, because {@code whin apply} accepts a change only if more than half of the
 * fleet confirms it.
 * <p>
 * Invariant: the age of a proof counts from the time at which it was requested, so that a
 * late response never makes an entry appear fresher than it is. Thread-safe.
 */
public final class Freshness {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long boundMs;

	private long confirmedAtMs = NEVER;

	private long exchangedAtMs = NEVER;

	private boolean majority;

	private boolean served;

	/**
	 * Creates an instance without any proof.
	 * @param boundMs the maximum age of a proof, in milliseconds
	 */
	public Freshness(long boundMs) {
		this.boundMs = boundMs;
	}

	/**
	 * Records that the platform, or a peer that had queried it, confirmed this revision
	 * as the newest.
	 * @param requestedAtMs when the confirmation was requested, on this entry's ticker
	 */
	public synchronized void confirmed(long requestedAtMs) {
		this.confirmedAtMs = Math.max(this.confirmedAtMs, requestedAtMs);
	}

	/**
	 * Records that a peer responded and held no newer revision.
	 * @param requestedAtMs when the peer was queried
	 * @param majorityAlive whether more than half of the fleet is alive in this entry's
	 * view
	 */
	public synchronized void exchanged(long requestedAtMs, boolean majorityAlive) {
		this.exchangedAtMs = Math.max(this.exchangedAtMs, requestedAtMs);
		this.majority = majorityAlive;
	}

	/**
	 * Returns the age of the newest proof.
	 * @param nowMs the current time, on this entry's ticker
	 * @return milliseconds, or -1 if there has been none
	 */
	public synchronized long ageMs(long nowMs) {
		return (this.confirmedAtMs == NEVER) ? -1 : nowMs - this.confirmedAtMs;
	}

	/**
	 * Returns whether this entry may act on its revision.
	 * @param nowMs the current time, on this entry's ticker
	 * @return {@code false} if it must refuse requests
	 */
	public synchronized boolean mayServe(long nowMs) {
		boolean proofValid = nowMs - this.confirmedAtMs <= this.boundMs;
		boolean majorityReachable = this.majority && nowMs - this.exchangedAtMs <= this.boundMs;
		boolean serves = proofValid || (majorityReachable && this.confirmedAtMs != NEVER);
		if (serves != this.served) {
			this.served = serves;
			logger.atInfo()
				.log("event=%s proof_age_ms=%d exchange_age_ms=%d majority=%b limit_ms=%d",
						serves ? "configuration-confirmed" : "configuration-unconfirmed", ageMs(nowMs),
						(this.exchangedAtMs == NEVER) ? -1 : nowMs - this.exchangedAtMs, this.majority, this.boundMs);
		}
		return serves;
	}

}
