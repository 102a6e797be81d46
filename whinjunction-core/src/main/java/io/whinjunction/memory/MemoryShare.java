package io.whinjunction.memory;

import java.util.concurrent.atomic.AtomicLong;

/**
 * What one holder holds of a {@link MemoryBudget}, by use.
 * <p>
 * Invariant: after {@link #close()} nothing is charged. Uses are set by one thread at a
 * time, and read by any.
 */
public final class MemoryShare implements AutoCloseable {

	private final MemoryBudget budget;

	private final MemoryBudget.Holder holder;

	private final long number;

	private final long[] usedBytes = new long[Use.values().length];

	private final AtomicLong bytes = new AtomicLong();

	private volatile boolean shed;

	private boolean closed;

	MemoryShare(MemoryBudget budget, MemoryBudget.Holder holder, long number) {
		this.budget = budget;
		this.holder = holder;
		this.number = number;
	}

	/**
	 * Charges what is held for a use, in place of what was charged before.
	 * @param use the use
	 * @param heldBytes what is held now, in bytes
	 */
	public synchronized void set(Use use, long heldBytes) {
		if (this.closed) {
			return;
		}
		long change = heldBytes - this.usedBytes[use.ordinal()];
		if (change != 0) {
			this.usedBytes[use.ordinal()] = heldBytes;
			this.bytes.addAndGet(change);
			this.budget.changed(change);
		}
	}

	/**
	 * Charges more, or with a negative count less, for a use.
	 * @param use the use
	 * @param count the change, in bytes
	 */
	public synchronized void add(Use use, long count) {
		set(use, this.usedBytes[use.ordinal()] + count);
	}

	/**
	 * Returns what is charged for all uses.
	 * @return bytes
	 */
	public long bytes() {
		return this.bytes.get();
	}

	/**
	 * Returns what is charged for one use.
	 * @param use the use
	 * @return bytes
	 */
	public synchronized long bytes(Use use) {
		return this.usedBytes[use.ordinal()];
	}

	/**
	 * Returns whether the budget would let an upstream begin the request of the holder.
	 * @return {@code false} if the request has to be refused
	 */
	public boolean admitted() {
		return this.budget.admits(this);
	}

	/** Records that what was shed has been given up, so that it may be shed again. */
	public void recovered() {
		this.shed = false;
	}

	boolean isShed() {
		return this.shed;
	}

	void shed() {
		this.shed = true;
		this.holder.shed();
	}

	MemoryBudget.Holder holder() {
		return this.holder;
	}

	long number() {
		return this.number;
	}

	@Override
	public synchronized void close() {
		for (Use use : Use.values()) {
			set(use, 0);
		}
		this.closed = true;
		this.budget.closed(this);
	}

	/**
	 * What memory is held for.
	 */
	public enum Use {

		/** The connection itself. */
		CONNECTION,
		/** What the decoder has read of a message that is not complete. */
		DECODING,
		/** The request until its end: its head and its buffered body. */
		REQUEST,
		/** What an upstream has sent of an answer that is not complete. */
		UPSTREAM,
		/** What its caller has not taken of its answers. */
		ANSWERS

	}

}
