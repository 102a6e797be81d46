package io.whinjunction.memory;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that callers, and the upstreams of their requests, may make a process hold:
 * decoded heads, bodies that wait for their end, parts of answers, answers that were not
 * taken.
 * <p>
 * Guards against callers or upstreams that together hold more than the process has,
 * whether each of them sends much, stops just short of an end, or takes no answers.
 * Holders charge what they hold at its cost on the heap. Up to the soft limit nobody is
 * restricted. Above it the largest holders are shed first until an eighth of the limit is
 * free again, small ones only above the limit, so that the last quarter is kept for small
 * requests. A request that an upstream may have begun is never refused: of its holder
 * only what the upstream has sent is shed, and {@link #admits} keeps the sum of the rest
 * within the limits.
 * <p>
 * Invariant: the used bytes are the sum of all open shares. Thread-safe.
 */
public final class MemoryBudget {

	/** Holders up to this size are restricted only above the limit, in bytes. */
	public static final int SMALL_BYTES = 16_384;

	/** The part of the heap that callers may fill. */
	private static final int HEAP_DIVISOR = 4;

	private static final Comparator<MemoryShare> LARGEST_FIRST = Comparator
		.<MemoryShare>comparingLong((share) -> -share.bytes())
		.thenComparingLong(MemoryShare::number);

	private final long limitBytes;

	private final long softBytes;

	private final Listener listener;

	private final AtomicLong usedBytes = new AtomicLong();

	private final AtomicLong shares = new AtomicLong();

	private final Set<MemoryShare> open = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean shedding = new AtomicBoolean();

	/** Growth up to here has been looked at already. */
	private volatile long examinedBytes;

	/**
	 * Creates a budget of which nothing is used.
	 * @param limitBytes the limit, in bytes
	 * @param listener is told of each holder that is shed
	 */
	public MemoryBudget(long limitBytes, Listener listener) {
		this.limitBytes = limitBytes;
		this.softBytes = limitBytes / 4 * 3;
		this.examinedBytes = this.softBytes;
		this.listener = listener;
	}

	/**
	 * Creates a budget for the heap of this process.
	 * @param listener is told of each holder that is shed
	 * @return a budget of a quarter of the largest heap
	 */
	public static MemoryBudget ofHeap(Listener listener) {
		return new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR, listener);
	}

	/**
	 * Opens a share, which its owner has to close.
	 * @param holder holds what is charged to the share
	 * @return an empty share
	 */
	public MemoryShare open(Holder holder) {
		MemoryShare share = new MemoryShare(this, holder, this.shares.getAndIncrement());
		this.open.add(share);
		return share;
	}

	void closed(MemoryShare share) {
		this.open.remove(share);
	}

	void changed(long bytes) {
		long used = this.usedBytes.addAndGet(bytes);
		if (used <= this.softBytes) {
			this.examinedBytes = this.softBytes;
		}
		else if (bytes > 0 && used > this.examinedBytes && this.shedding.compareAndSet(false, true)) {
			try {
				shed(used);
			}
			finally {
				// Holders that can't be shed are not looked at again for each byte.
				this.examinedBytes = Math.max(this.softBytes, this.usedBytes.get()) + this.limitBytes / 64;
				this.shedding.set(false);
			}
		}
	}

	private void shed(long used) {
		boolean full = used > this.limitBytes;
		long left = shed(used, EnumSet.of(Holder.State.UNSENT, Holder.State.UNPASSED), full);
		if (left > this.limitBytes) {
			shed(left, EnumSet.of(Holder.State.UNTAKEN), true);
		}
	}

	private long shed(long used, Set<Holder.State> states, boolean smallToo) {
		List<MemoryShare> candidates = this.open.stream()
			.filter((share) -> !share.isShed() && states.contains(share.holder().state()))
			.sorted(LARGEST_FIRST)
			.toList();
		long left = used;
		for (MemoryShare share : candidates) {
			long bytes = share.bytes();
			if (left <= this.softBytes - this.limitBytes / 8 || bytes <= SMALL_BYTES && !smallToo) {
				break;
			}
			left -= bytes;
			Holder.State state = share.holder().state();
			share.shed();
			this.listener.shed(state, bytes, used, this.limitBytes);
		}
		return left;
	}

	/**
	 * Returns whether a request may be sent to an upstream, after which its holder is not
	 * shed any more.
	 * @param share the share of its holder
	 * @return {@code false} if it has to be refused
	 */
	public boolean admits(MemoryShare share) {
		long used = this.usedBytes.get();
		return used <= this.softBytes || share.bytes() <= SMALL_BYTES && used <= this.limitBytes;
	}

	/**
	 * Returns whether so much is held that answers are no longer buffered whole.
	 * @return whether more than half of the limit is used
	 */
	public boolean tight() {
		return this.usedBytes.get() > this.limitBytes / 2;
	}

	/**
	 * Returns what all holders together hold.
	 * @return bytes
	 */
	public long usedBytes() {
		return this.usedBytes.get();
	}

	/**
	 * Returns what they may hold.
	 * @return bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	/**
	 * Holds memory on behalf of one caller and its request.
	 */
	public interface Holder {

		/**
		 * Returns what would be lost if it gave up what it holds. May be called by any
		 * thread.
		 * @return the state
		 */
		State state();

		/**
		 * Gives up what it holds: refuses a request, ends an attempt, or closes a
		 * connection. May be called by any thread, and may take effect later.
		 */
		void shed();

		/**
		 * How far the request of a holder has come.
		 */
		enum State {

			/** No upstream has the request, if there is any. */
			UNSENT,
			/** An upstream may have begun the request. */
			SENT,
			/**
			 * An upstream has sent a large part of an answer that can't be passed on yet.
			 */
			UNPASSED,
			/** Its caller takes no more of the answer. */
			UNTAKEN

		}

	}

	/**
	 * Is told of holders that are shed.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Handles that a holder is shed.
		 * @param state how far its request had come
		 * @param bytes what it held, in bytes
		 * @param usedBytes what all holders together held, in bytes
		 * @param limitBytes what they may hold, in bytes
		 */
		void shed(Holder.State state, long bytes, long usedBytes, long limitBytes);

	}

}
