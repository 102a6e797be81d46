package io.whinjunction.priority;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of one service that wait to begin.
 * <p>
 * Load pattern: more requests arrive than engines can serve in time, of several ranks and
 * of teams of very different size. Each rank begins the ratio of its requests that
 * {@link RankShares} allows. Within a rank, callers that return when they were told to go
 * first, then the team that began the least work lately, then the request that has to
 * begin first. A request that can't begin in time is refused as soon as this is known.
 * <p>
 * Invariants: a request gets at most one outcome; at most {@link #MAX_WAITING} requests
 * wait; a rank that is not held back waits only behind earlier requests of its own. What
 * may begin is counted in tokens of arrivals, not in time, so that the ratio holds for
 * requests that arrive rarely too. A large request begins like a small one, and its rank
 * owes its size afterwards. Confined to the event loop.
 *
 * @param <T> identifies a request
 */
public final class PriorityLine<T> {

	/** Bounds the memory of a line. */
	public static final int MAX_WAITING = 64;

	private static final long UNKNOWN_MS = Integer.MAX_VALUE;

	private final RankShares shares = new RankShares();

	private final TeamWork teams = new TeamWork();

	private final Map<T, WaitingRequest> waiting = new LinkedHashMap<>();

	/** Tokens that each rank has begun beyond its allowance. */
	private final double[] debtTokens = new double[RequestRank.COUNT];

	/**
	 * Adds a request.
	 * @param id identifies it
	 * @param request the request
	 * @param load the load, from 0 to 1
	 * @param nowMs the time
	 * @return the requests that begin or are refused now, in this order of events; the
	 * added one waits if it is not among them
	 */
	public Map<T, AdmissionOutcome> enter(T id, WaitingRequest request, double load, long nowMs) {
		this.shares.arrived(request.rank(), request.tokens(), nowMs);
		this.debtTokens[request.rank()] -= this.shares.allowedRatio(request.rank(), load) * request.tokens();
		this.waiting.put(id, request);
		Map<T, AdmissionOutcome> outcomes = poll(load, nowMs);
		if (this.waiting.size() > MAX_WAITING) {
			refuseLeastUrgent(load, nowMs, outcomes);
		}
		return outcomes;
	}

	/**
	 * Decides which waiting requests begin or are refused now.
	 * @param load the load, from 0 to 1
	 * @param nowMs the time
	 * @return their outcomes, the most urgent rank first
	 */
	public Map<T, AdmissionOutcome> poll(double load, long nowMs) {
		Map<T, AdmissionOutcome> outcomes = new LinkedHashMap<>();
		for (int rank = 0; rank < RequestRank.COUNT; rank++) {
			// A rank that is no longer held back begins one request at a time, as all at
			// once would be another burst.
			if (this.shares.allowedRatio(rank, load) >= 1) {
				this.debtTokens[rank] = 0;
			}
			decide(rank, load, nowMs, outcomes);
		}
		return outcomes;
	}

	/**
	 * Removes a request whose caller no longer waits.
	 * @param id the request
	 * @return whether it was waiting
	 */
	public boolean leave(T id) {
		return this.waiting.remove(id) != null;
	}

	/**
	 * Removes all requests.
	 * @return the requests that were waiting, the most urgent rank first
	 */
	public List<T> clear() {
		List<T> all = this.waiting.entrySet()
			.stream()
			.sorted(Comparator.comparingInt((entry) -> entry.getValue().rank()))
			.map(Map.Entry::getKey)
			.toList();
		this.waiting.clear();
		return all;
	}

	/**
	 * Returns the waiting requests.
	 * @return a view
	 */
	public Collection<WaitingRequest> waiting() {
		return this.waiting.values();
	}

	/**
	 * Returns the ratio of a rank's requests that may begin.
	 * @param rank the rank
	 * @param load the load, from 0 to 1
	 * @return from {@link RankShares#MIN_RATIO} to 1
	 */
	public double allowedRatio(int rank, double load) {
		return this.shares.allowedRatio(rank, load);
	}

	private void decide(int rank, double load, long nowMs, Map<T, AdmissionOutcome> outcomes) {
		List<T> ordered = ordered(rank, nowMs);
		while (!ordered.isEmpty() && mayBegin(this.waiting.get(ordered.getFirst()))) {
			T id = ordered.getFirst();
			WaitingRequest request = this.waiting.remove(id);
			this.teams.began(request.team(), request.tokens(), nowMs);
			this.debtTokens[rank] += request.tokens();
			outcomes.put(id, new AdmissionOutcome.Begin());
			ordered = ordered(rank, nowMs);
		}
		refuseLate(ordered, load, nowMs, outcomes);
	}

	private boolean mayBegin(WaitingRequest request) {
		return this.debtTokens[request.rank()] <= borrowedTokens(request);
	}

	// Whoever came back as told does not wait for what is owed by those that began since.
	private static double borrowedTokens(WaitingRequest request) {
		return request.returned() ? request.tokens() : 0;
	}

	private void refuseLate(List<T> ordered, double load, long nowMs, Map<T, AdmissionOutcome> outcomes) {
		double aheadTokens = 0;
		for (T id : ordered) {
			WaitingRequest request = this.waiting.get(id);
			double owedTokens = this.debtTokens[request.rank()] + aheadTokens - borrowedTokens(request);
			long drainMs = drainMs(request.rank(), owedTokens, load, nowMs);
			if (nowMs + drainMs > request.latestBeginMs()) {
				this.waiting.remove(id);
				outcomes.put(id, new AdmissionOutcome.Refuse(AdmissionOutcome.Reason.GIVES_WAY, drainMs));
			}
			else {
				aheadTokens += request.tokens();
			}
		}
	}

	private void refuseLeastUrgent(double load, long nowMs, Map<T, AdmissionOutcome> outcomes) {
		T newest = null;
		int leastUrgent = -1;
		double aheadTokens = 0;
		for (Map.Entry<T, WaitingRequest> entry : this.waiting.entrySet()) {
			if (entry.getValue().rank() >= leastUrgent) {
				aheadTokens = (entry.getValue().rank() > leastUrgent) ? 0 : aheadTokens;
				aheadTokens += entry.getValue().tokens();
				leastUrgent = entry.getValue().rank();
				newest = entry.getKey();
			}
		}
		this.waiting.remove(newest);
		long drainMs = drainMs(leastUrgent, this.debtTokens[leastUrgent] + aheadTokens, load, nowMs);
		outcomes.put(newest, new AdmissionOutcome.Refuse(AdmissionOutcome.Reason.LINE_FULL, drainMs));
	}

	private List<T> ordered(int rank, long nowMs) {
		List<T> ofRank = new ArrayList<>();
		for (Map.Entry<T, WaitingRequest> entry : this.waiting.entrySet()) {
			if (entry.getValue().rank() == rank) {
				ofRank.add(entry.getKey());
			}
		}
		ofRank.sort(Comparator.comparing((T id) -> !this.waiting.get(id).returned())
			.thenComparingDouble((id) -> this.teams.tokensOf(this.waiting.get(id).team(), nowMs))
			.thenComparingLong((id) -> this.waiting.get(id).latestBeginMs()));
		return ofRank;
	}

	private long drainMs(int rank, double tokens, double load, long nowMs) {
		double ratio = this.shares.allowedRatio(rank, load);
		if (tokens <= 0 || ratio >= 1) {
			return 0;
		}
		double tokensPerMs = this.shares.arrivalRate(rank, nowMs) * ratio;
		return (tokensPerMs > 0) ? (long) Math.min(UNKNOWN_MS, Math.ceil(tokens / tokensPerMs)) : UNKNOWN_MS;
	}

}
