package io.whinjunction.lease;

import java.util.Optional;

import io.whinjunction.store.StoreVersion;

/**
 * Makes the decisions of one candidate for a lease, without calls or a clock of its own.
 * <p>
 * Clocks are never compared between processes: a candidate takes over after it has itself
 * observed the lease unchanged for the full time to live. A holder may be paused and
 * still consider itself the holder. It therefore stops acting some time before the lease
 * expires, by its own clock, and all its orders carry a fencing number that increases
 * with each change of holder.
 * <p>
 * After the store was restored from an older copy, the lease is missing or outdated while
 * its last holder may still act. No other candidate takes it over before that holder has
 * stopped.
 * <p>
 * Invariants: fencing numbers only increase, also from one era of the store to the next;
 * {@link #holds} is true only within {@link #ACTIVE_RATIO} of the time to live after the
 * start of the last confirmed write, and not beyond the era of that write. State changes
 * are confined to one thread; {@link #holds} and {@link #fencing} are thread-safe.
 */
public final class LeaseCandidate {

	/** The ratio of the time to live during which a holder acts. */
	static final double ACTIVE_RATIO = 0.6;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String holder;

	private final long timeToLiveMs;

	/** The version that was read last; {@code null} before the first read. */
	private StoreVersion seenVersion;

	private long seenSinceMs;

	private long restoredAtMs = NEVER;

	/** Whether this process was the holder when the store was restored. */
	private boolean heldAtRestore;

	private Claim current;

	private volatile long renewedAtMs = NEVER;

	private volatile long fencing;

	/**
	 * Creates a candidate that does not hold the lease.
	 * @param holder the name of this process
	 * @param timeToLiveMs after how long without a change other candidates take over, in
	 * milliseconds
	 */
	public LeaseCandidate(String holder, long timeToLiveMs) {
		this.holder = holder;
		this.timeToLiveMs = timeToLiveMs;
	}

	/**
	 * Records that the store was restored from an older copy.
	 * @param nowMs when this process learned of the restore
	 */
	public void storeRestored(long nowMs) {
		this.heldAtRestore = holds(nowMs);
		this.restoredAtMs = nowMs;
		this.seenVersion = null;
		lost();
	}

	/**
	 * Returns whether this process was the holder when the store was restored.
	 * @return {@code true} until this or another process has written the lease again
	 */
	public boolean heldAtRestore() {
		return this.heldAtRestore;
	}

	/**
	 * Handles a read that found no lease: there is none yet, or the store has lost it.
	 * @param era the store's era
	 * @param nowMs the time
	 * @return the claim to write, or empty if an earlier holder may still act
	 */
	public Optional<Claim> absent(long era, long nowMs) {
		StoreVersion none = new StoreVersion(era, 0);
		return settled(nowMs) ? Optional.of(new Claim(FencingNumbers.next(0, none), none)) : Optional.empty();
	}

	// Only the last holder can have acted when the store was restored, so it need not
	// wait.
	private boolean settled(long nowMs) {
		return this.heldAtRestore || nowMs - this.restoredAtMs >= this.timeToLiveMs;
	}

	/**
	 * Handles a read of the lease. A read may take long and return a value that was
	 * written just before it completed. Dated from its start, the lease would appear to
	 * be unchanged for longer than it is, and two processes could hold it.
	 * @param seenHolder the holder; empty if the lease was released
	 * @param seenFencing its fencing number
	 * @param version its version
	 * @param nowMs when the read completed
	 * @return the claim to write, or empty if another process holds the lease
	 */
	public Optional<Claim> seen(String seenHolder, long seenFencing, StoreVersion version, long nowMs) {
		if (!version.equals(this.seenVersion)) {
			this.seenVersion = version;
			this.seenSinceMs = nowMs;
		}
		// The name alone is no proof: the holder may have been a previous incarnation of
		// this process.
		boolean ours = seenHolder.equals(this.holder) && seenFencing == this.fencing && holds(nowMs);
		// A number of this era shows that another process has written the lease since.
		this.heldAtRestore &= !FencingNumbers.issuedInEra(seenFencing, version.era());
		boolean free = (seenHolder.isEmpty() || this.heldAtRestore) && settled(nowMs);
		boolean expired = nowMs - this.seenSinceMs >= this.timeToLiveMs;
		if (ours) {
			return Optional.of(new Claim(seenFencing, version));
		}
		return (free || expired) ? Optional.of(new Claim(FencingNumbers.next(seenFencing, version), version))
				: Optional.empty();
	}

	/**
	 * Returns the claim that renews the lease without a read before.
	 * @param nowMs the time
	 * @return the claim, or empty if this process does not hold the lease
	 */
	public Optional<Claim> renewal(long nowMs) {
		return holds(nowMs) ? Optional.ofNullable(this.current) : Optional.empty();
	}

	/**
	 * Records that a claim was written.
	 * @param claim the claim
	 * @param version the version that the lease has now
	 * @param startMs when the write was started
	 */
	public void written(Claim claim, StoreVersion version, long startMs) {
		this.heldAtRestore = false;
		this.current = new Claim(claim.fencing(), version);
		this.fencing = claim.fencing();
		this.renewedAtMs = startMs;
	}

	/**
	 * Records that another process has written the lease or that this one releases it.
	 */
	public void lost() {
		this.current = null;
		this.renewedAtMs = NEVER;
	}

	/**
	 * Returns whether this process may act as the holder.
	 * @param nowMs the time
	 * @return {@code false} as soon as another process might hold the lease
	 */
	public boolean holds(long nowMs) {
		return nowMs - this.renewedAtMs < this.timeToLiveMs * ACTIVE_RATIO;
	}

	/**
	 * Returns the fencing number to send with orders.
	 * @return the number of the last lease held
	 */
	public long fencing() {
		return this.fencing;
	}

	/**
	 * A write that acquires or renews the lease. Immutable.
	 *
	 * @param fencing the fencing number to write
	 * @param expectedVersion the version to replace; its revision is 0 if there is no
	 * lease
	 */
	public record Claim(long fencing, StoreVersion expectedVersion) {
	}

}
