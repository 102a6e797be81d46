package io.whinjunction.priority;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The work that each team began lately.
 * <p>
 * Invariants: work loses its weight with time; at most {@link #MAX_TEAMS} teams are kept,
 * those that began a request last. Confined to the event loop.
 */
final class TeamWork {

	static final int MAX_TEAMS = 512;

	/** Work counts for about this time, in milliseconds. */
	private static final double TIME_CONSTANT_MS = 10_000;

	private final Map<String, Work> byTeam = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Work> eldest) {
			return size() > MAX_TEAMS;
		}

	};

	void began(String team, long tokens, long nowMs) {
		this.byTeam.put(team, new Work(tokensOf(team, nowMs) + tokens, nowMs));
	}

	double tokensOf(String team, long nowMs) {
		Work work = this.byTeam.get(team);
		return (work != null) ? work.tokens * Math.exp(-Math.max(0, nowMs - work.atMs) / TIME_CONSTANT_MS) : 0;
	}

	private record Work(double tokens, long atMs) {
	}

}
