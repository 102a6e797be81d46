package io.whinjunction.chain;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Bounds the number of moves in a failure domain while its engines stay the same.
 * <p>
 * Load pattern: orders that are refused or lost again and again would otherwise load
 * layers for the rest of the day. An engine that comes or goes makes a new plan
 * necessary, and the count starts again.
 * <p>
 * Invariant: at most {@link #MOVES_PER_ENGINE} moves per engine between two changes. Not
 * thread-safe.
 */
public final class MoveBudget {

	/** A reduction, two loads around it, and one repetition after a loss. */
	private static final int MOVES_PER_ENGINE = 4;

	private final Map<String, Count> counts = new HashMap<>();

	/**
	 * Returns whether a failure domain has moves left.
	 * @param domain the failure domain
	 * @param engines the names of its engines
	 * @return whether fewer moves were taken since its engines changed
	 */
	public boolean left(String domain, Set<String> engines) {
		Count count = this.counts.get(domain);
		return count == null || !count.engines().equals(engines) || count.moves() < MOVES_PER_ENGINE * engines.size();
	}

	/**
	 * Counts a move.
	 * @param domain the failure domain
	 * @param engines the names of its engines
	 */
	public void take(String domain, Set<String> engines) {
		Count count = this.counts.get(domain);
		int before = (count != null && count.engines().equals(engines)) ? count.moves() : 0;
		this.counts.put(domain, new Count(Set.copyOf(engines), before + 1));
	}

	/**
	 * Moves in a failure domain.
	 *
	 * @param engines the names of its engines
	 * @param moves the moves since these are its engines
	 */
	private record Count(Set<String> engines, int moves) {
	}

}
