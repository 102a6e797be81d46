package io.whinjunction.lease;

import java.util.Optional;

import io.whinjunction.store.StoreVersion;

/**
 * The decisions of one candidate for a lease, without calls or a clock of their own.
 * <p>
 * No clock is compared between processes: a candidate takes over after it has itself seen
 * the lease unchanged for the whole time to live. A holder may be paused and believe that
 * it holds on; therefore it stops acting a while earlier by its own clock, and everything
 * it orders carries a fencing number that goes up with each change of holder.
 * <p>
 * Where the store has come back from an older copy, the lease is gone or as it was long
 * ago, while its last holder may still act: nobody takes it over before that one has
 * stopped.
 * <p>
 * Invariants: fencing numbers only go up, also from one era of the store to the next;
 * {@link #holds} is true only within {@link #ACTIVE_RATIO} of the time to live after the
 * start of the last confirmed write, and not beyond the era of that write. Writes are
 * confined to one thread; {@link #holds} and {@link #fencing} are safe for all.
 */
public final class LeaseCandidate {

	/** The part of the time to live during which a holder acts. */
	static final double ACTIVE_RATIO = 0.6;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String holder;

	private final long timeToLiveMs;

	/** The version that was read last; {@code null} before the first. */
	private StoreVersion seenVersion;

	private long seenSinceMs;

	private long restoredAtMs = NEVER;

	/** Whether this process was the holder when the store came back. */
	private boolean heldAtRestore;

	private Claim current;

	private volatile long renewedAtMs = NEVER;

	private volatile long fencing;

	/**
	 * A candidate.
	 * @param holder this process
	 * @param timeToLiveMs after how long without a change others take over, in
	 * milliseconds
	 */
	public LeaseCandidate(String holder, long timeToLiveMs) {
		this.holder = holder;
		this.timeToLiveMs = timeToLiveMs;
	}

	/**
	 * The store has come back from an older copy.
	 * @param nowMs when that was heard
	 */
	public void storeRestored(long nowMs) {
		this.heldAtRestore = holds(nowMs);
		this.restoredAtMs = nowMs;
		this.seenVersion = null;
		lost();
	}

	/**
	 * Whether this process was the holder when the store came back.
	 * @return {@code true} until it has written the lease again, or another one has
	 */
	public boolean heldAtRestore() {
		return this.heldAtRestore;
	}

	/**
	 * There is no lease yet, or it is lost.
	 * @param era the store's era
	 * @param nowMs the time
	 * @return the claim to write, or empty where an earlier holder may still act
	 */
	public Optional<Claim> absent(long era, long nowMs) {
		StoreVersion none = new StoreVersion(era, 0);
		return settled(nowMs) ? Optional.of(new Claim(FencingNumbers.next(0, none), none)) : Optional.empty();
	}

	// Beside the last holder nobody can have acted when the store came back, so that one
	// need not wait.
	private boolean settled(long nowMs) {
		return this.heldAtRestore || nowMs - this.restoredAtMs >= this.timeToLiveMs;
	}

	/**
	 * The lease was read. A read may take long, and what it brings may have been written
	 * at its very end: dated from its beginning, the lease would seem unchanged for
	 * longer than it is, and two could hold it.
	 * @param seenHolder who holds it; empty where it was given up
	 * @param seenFencing its fencing number
	 * @param version its version
	 * @param nowMs when the read had ended
	 * @return the claim to write, or empty where another one holds it
	 */
	public Optional<Claim> seen(String seenHolder, long seenFencing, StoreVersion version, long nowMs) {
		if (!version.equals(this.seenVersion)) {
			this.seenVersion = version;
			this.seenSinceMs = nowMs;
		}
		// A name alone does not prove it: an earlier life of this process may have
		// been the holder.
		boolean ours = seenHolder.equals(this.holder) && seenFencing == this.fencing && holds(nowMs);
		// Another one has written it in this era.
		this.heldAtRestore &= !FencingNumbers.issuedInEra(seenFencing, version.era());
		boolean free = (seenHolder.isEmpty() || this.heldAtRestore) && settled(nowMs);
		boolean lapsed = nowMs - this.seenSinceMs >= this.timeToLiveMs;
		if (ours) {
			return Optional.of(new Claim(seenFencing, version));
		}
		return (free || lapsed) ? Optional.of(new Claim(FencingNumbers.next(seenFencing, version), version))
				: Optional.empty();
	}

	/**
	 * The claim that renews the lease without reading it before.
	 * @param nowMs the time
	 * @return the claim, or empty where this process doesn't hold the lease
	 */
	public Optional<Claim> renewal(long nowMs) {
		return holds(nowMs) ? Optional.ofNullable(this.current) : Optional.empty();
	}

	/**
	 * A claim was written.
	 * @param claim the claim
	 * @param version the version that it has now
	 * @param startMs when the write was begun
	 */
	public void written(Claim claim, StoreVersion version, long startMs) {
		this.heldAtRestore = false;
		this.current = new Claim(claim.fencing(), version);
		this.fencing = claim.fencing();
		this.renewedAtMs = startMs;
	}

	/** Another process has written the lease, or this one gives it up. */
	public void lost() {
		this.current = null;
		this.renewedAtMs = NEVER;
	}

	/**
	 * Whether this process may act as the holder.
	 * @param nowMs the time
	 * @return {@code false} as soon as another might hold it
	 */
	public boolean holds(long nowMs) {
		return nowMs - this.renewedAtMs < this.timeToLiveMs * ACTIVE_RATIO;
	}

	/**
	 * The fencing number to put on orders.
	 * @return the number of the last lease held
	 */
	public long fencing() {
		return this.fencing;
	}

	/**
	 * A write that takes or renews the lease. Immutable.
	 *
	 * @param fencing the fencing number to write
	 * @param expectedVersion the version to replace; its revision is 0 where there is
	 * none
	 */
	public record Claim(long fencing, StoreVersion expectedVersion) {
	}

}
