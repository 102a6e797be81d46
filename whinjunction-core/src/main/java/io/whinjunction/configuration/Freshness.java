package io.whinjunction.configuration;

import com.google.common.flogger.FluentLogger;

/**
 * Tells whether this entry may act on the revision it holds.
 * <p>
 * The failure it is there for: an entry that is cut off, or was paused, goes on with a
 * place rule that operators have tightened meanwhile, and data goes where it must not. An
 * entry serves while somebody has proved to it within the bound that its revision is the
 * platform's. During an outage of the platform nobody can, but then nobody can change the
 * configuration either; so an entry also serves while it exchanges with peers and more
 * than half of the fleet is alive in its view, since {@code whin apply} accepts a change
 * only where more than half of the fleet confirms.
 * <p>
 * Invariant: proofs only count from the time at which they were asked for, so a late
 * answer never makes an entry look fresher than it is. Safe for all threads.
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
	 * Freshness with a bound.
	 * @param boundMs how old a proof may be, in milliseconds
	 */
	public Freshness(long boundMs) {
		this.boundMs = boundMs;
	}

	/**
	 * The platform, or a peer that had asked it, had this revision as the newest.
	 * @param askedAtMs when that was asked, on this entry's ticker
	 */
	public synchronized void confirmed(long askedAtMs) {
		this.confirmedAtMs = Math.max(this.confirmedAtMs, askedAtMs);
	}

	/**
	 * A peer answered and held no newer revision.
	 * @param askedAtMs when it was asked
	 * @param majorityAlive whether more than half of the fleet is alive in this view
	 */
	public synchronized void exchanged(long askedAtMs, boolean majorityAlive) {
		this.exchangedAtMs = Math.max(this.exchangedAtMs, askedAtMs);
		this.majority = majorityAlive;
	}

	/**
	 * The age of the newest proof.
	 * @param nowMs the time
	 * @return milliseconds, or -1 where there was none
	 */
	public synchronized long ageMs(long nowMs) {
		return (this.confirmedAtMs == NEVER) ? -1 : nowMs - this.confirmedAtMs;
	}

	/**
	 * Whether this entry may act on its revision.
	 * @param nowMs the time
	 * @return {@code false} where it has to refuse
	 */
	public synchronized boolean mayServe(long nowMs) {
		boolean proved = nowMs - this.confirmedAtMs <= this.boundMs;
		boolean together = this.majority && nowMs - this.exchangedAtMs <= this.boundMs;
		boolean serves = proved || (together && this.confirmedAtMs != NEVER);
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
