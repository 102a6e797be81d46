package io.whinjunction.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Requests that wait for room at engines.
 * <p>
 * The load it answers: after the loss of all routers every draft begins anew at once,
 * beside those that engines still write for nobody, and for two seconds more come than
 * there is room for. A caller that is refused comes back once, finds the engines full
 * again and is lost, while room is freed many times a second: of 154 requests that one
 * day refused so, 52 were never served. A request waits where its turn comes within
 * {@link #MOST_WAIT_MS} by the rate at which room was freed lately, and is refused at
 * once where it doesn't.
 * <p>
 * Invariants: more urgent ones go first, those of one rank in their order; nobody waits
 * longer than the limit. Not safe for threads.
 *
 * @param <T> what waits
 */
public final class RoomQueue<T> {

	/**
	 * The longest wait, in milliseconds: a refused caller comes back after half a second
	 * and has its first event later than is promised, as one that waited this long.
	 */
	public static final long MOST_WAIT_MS = 800;

	/** The time over which the rate of freed room is taken, in milliseconds. */
	private static final long WINDOW_MS = 1000;

	/**
	 * Requests that may wait where nothing was freed lately, as after a start: engines
	 * that are full free room for some requests in a second.
	 */
	private static final int WAITING_UNKNOWN = 8;

	private final List<Waiting<T>> waiting = new ArrayList<>();

	private final ArrayDeque<Long> freedAtMs = new ArrayDeque<>();

	/**
	 * Room was freed: a request ended.
	 * @param nowMs the time
	 */
	public void freed(long nowMs) {
		this.freedAtMs.add(nowMs);
		forget(nowMs);
	}

	/**
	 * Offers a request that found no room.
	 * @param item the request
	 * @param rank its rank; 0 is the most urgent
	 * @param nowMs the time
	 * @return whether it waits; {@code false} where it is refused at once
	 */
	public boolean offer(T item, int rank, long nowMs) {
		forget(nowMs);
		long before = this.waiting.stream().filter((other) -> other.rank <= rank).count();
		double most = Math.max(WAITING_UNKNOWN, (double) this.freedAtMs.size() * MOST_WAIT_MS / WINDOW_MS);
		if (before >= most) {
			return false;
		}
		this.waiting.add(new Waiting<>(item, rank, nowMs));
		// The sort is stable, so that those of one rank keep their order.
		this.waiting.sort(Comparator.comparingInt(Waiting::rank));
		return true;
	}

	/**
	 * Whose turn it is.
	 * @return the request, which goes on waiting until {@link #remove}
	 */
	public Optional<T> first() {
		return this.waiting.isEmpty() ? Optional.empty() : Optional.of(this.waiting.getFirst().item);
	}

	/**
	 * Takes a request out.
	 * @param item the request
	 */
	public void remove(T item) {
		this.waiting.removeIf((other) -> other.item == item);
	}

	/**
	 * Takes those out that have waited for too long.
	 * @param nowMs the time
	 * @return the requests, which are to be refused
	 */
	public List<T> expired(long nowMs) {
		List<T> expired = new ArrayList<>();
		this.waiting.removeIf((other) -> {
			boolean over = nowMs - other.sinceMs >= MOST_WAIT_MS;
			if (over) {
				expired.add(other.item);
			}
			return over;
		});
		return expired;
	}

	/**
	 * How many wait.
	 * @return the number
	 */
	public int size() {
		return this.waiting.size();
	}

	private void forget(long nowMs) {
		while (!this.freedAtMs.isEmpty() && nowMs - this.freedAtMs.peek() > WINDOW_MS) {
			this.freedAtMs.poll();
		}
	}

	/**
	 * One that waits.
	 *
	 * @param item the request
	 * @param rank its rank
	 * @param sinceMs since when
	 */
	private record Waiting<T>(T item, int rank, long sinceMs) {
	}

}
