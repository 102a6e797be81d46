package io.whinjunction.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Admission control with a bounded number of running and of waiting requests, fair
 * between teams.
 * <p>
 * Guards against overload in which all requests wait, none is answered in time and one
 * large team fills the queue. A free slot goes to the waiting team with the fewest
 * running requests relative to its weight. A request that cannot meet its deadline is
 * refused immediately. If the queue is full, the newest request of the team with the
 * longest queue relative to its weight is displaced.
 * <p>
 * Invariants: no request is started while the limit is reached; a waiting request is
 * completed exactly once. Thread-safe.
 */
public final class AdmissionQueue {

	private static final double SMOOTHING = 0.05;

	/**
	 * Waiting times vary, so a request is queued only if its expected wait is within this
	 * ratio of the wait that it can afford.
	 */
	private static final double EXPECTED_WAIT_RATIO = 0.5;

	private static final double GAP_SMOOTHING = 0.1;

	/** The ratio of a request's time that it may wait; the rest is needed to run. */
	private static final double MAX_WAIT_RATIO = 0.25;

	private final ConcurrencyLimit limit;

	private final int maxWaiting;

	private final Map<String, TeamQueue> teams = new HashMap<>();

	private int running;

	private int waiting;

	private double smoothedServiceMs;

	/**
	 * Creates an empty queue.
	 * @param limit the limit of running requests
	 * @param maxWaiting how many requests may wait
	 */
	public AdmissionQueue(ConcurrencyLimit limit, int maxWaiting) {
		this.limit = limit;
		this.maxWaiting = maxWaiting;
	}

	/**
	 * Returns how long a request may wait.
	 * @param allowedMs the time that it has in total, in milliseconds
	 * @return the longest wait in milliseconds
	 */
	public static long waitMs(long allowedMs) {
		return (long) (allowedMs * MAX_WAIT_RATIO);
	}

	/**
	 * Admits, queues or refuses a request.
	 * @param team the team
	 * @param weight its weight
	 * @param allowedMs how long it may take, including the wait, in milliseconds
	 * @return the decision
	 */
	public synchronized Ticket enter(String team, int weight, long allowedMs) {
		TeamQueue queue = this.teams.computeIfAbsent(team, (name) -> new TeamQueue());
		queue.weight = weight;
		if (this.running < this.limit.current() && this.waiting == 0) {
			start(queue);
			return new Ticket.Admitted();
		}
		long waitMs = expectedWaitMs(queue);
		if (waitMs > waitMs(allowedMs) * EXPECTED_WAIT_RATIO) {
			forgetIdle(team);
			return new Ticket.Refused(false, Math.max(1, waitMs));
		}
		if (this.waiting >= this.maxWaiting && !displaceFor(queue)) {
			forgetIdle(team);
			return new Ticket.Refused(true, Math.max(1, waitMs));
		}
		CompletableFuture<Boolean> admitted = new CompletableFuture<>();
		queue.waiting.add(admitted);
		this.waiting++;
		return new Ticket.Waiting(admitted);
	}

	/**
	 * Records the progress of a running request and starts waiting requests if the limit
	 * has grown.
	 * @param nowMs the time
	 * @param projectedMs the projected total duration of its answer, in milliseconds
	 * @param allowedMs how long it may take, in milliseconds
	 */
	public synchronized void recordProgress(long nowMs, double projectedMs, double allowedMs) {
		this.limit.recordProgress(nowMs, this.running, projectedMs, allowedMs);
		startWaiting(nowMs);
	}

	/**
	 * Records the end of a running request and starts waiting requests.
	 * @param team its team
	 * @param tookMs how long it ran, in milliseconds
	 * @param nowMs the time
	 */
	public synchronized void leave(String team, double tookMs, long nowMs) {
		this.limit.recordCompletion(this.running);
		this.smoothedServiceMs = (this.smoothedServiceMs == 0) ? tookMs
				: this.smoothedServiceMs + SMOOTHING * (tookMs - this.smoothedServiceMs);
		this.running--;
		this.teams.get(team).running--;
		startWaiting(nowMs);
		forgetIdle(team);
	}

	/**
	 * Cancels a waiting request.
	 * @param team its team
	 * @param ticket its ticket
	 * @return {@code true} if it was removed from the queue; {@code false} if it was no
	 * longer waiting
	 */
	public synchronized boolean cancel(String team, Ticket.Waiting ticket) {
		boolean removed = this.teams.get(team).waiting.remove(ticket.admitted());
		if (removed) {
			this.waiting--;
			forgetIdle(team);
		}
		return removed;
	}

	/**
	 * Returns how long a request typically runs, without the wait.
	 * @return the smoothed time in milliseconds; 0 until the first request has ended
	 */
	public synchronized long typicalServiceMs() {
		return (long) this.smoothedServiceMs;
	}

	/**
	 * Returns the number of running requests.
	 * @return their number
	 */
	public synchronized int running() {
		return this.running;
	}

	/**
	 * Returns the current limit of running requests.
	 * @return the limit
	 */
	public synchronized int limit() {
		return this.limit.current();
	}

	/**
	 * Returns the number of waiting requests.
	 * @return their number
	 */
	public synchronized int waiting() {
		return this.waiting;
	}

	// Slots are given to the waiting teams in rounds, so a team with a short queue is
	// served soon, however long the queue of another team is.
	private long expectedWaitMs(TeamQueue queue) {
		long round = this.teams.values().stream().filter((one) -> one != queue && !one.waiting.isEmpty()).count() + 1;
		double ahead = Math.min(this.waiting + 1.0, (queue.waiting.size() + 1.0) * round);
		double byRounds = this.smoothedServiceMs * ahead / this.limit.current();
		// The recent intervals between this team's starts show its actual share of the
		// slots.
		return (long) Math.max(byRounds, queue.startGapMs() * (queue.waiting.size() + 1));
	}

	// Refuses the newest request of the longest queue at once to make room.
	private boolean displaceFor(TeamQueue queue) {
		TeamQueue longest = queue;
		for (TeamQueue other : this.teams.values()) {
			if (other.share() > longest.share()) {
				longest = other;
			}
		}
		if (longest.share() <= queue.share() + 1) {
			return false;
		}
		this.waiting--;
		longest.waiting.pollLast().complete(false);
		return true;
	}

	private void start(TeamQueue queue) {
		queue.running++;
		this.running++;
	}

	private void startWaiting(long nowMs) {
		while (this.running < this.limit.current() && this.waiting > 0) {
			startNext(nowMs);
		}
	}

	private void startNext(long nowMs) {
		TeamQueue next = null;
		for (TeamQueue queue : this.teams.values()) {
			if (!queue.waiting.isEmpty() && (next == null || queue.load() < next.load())) {
				next = queue;
			}
		}
		this.waiting--;
		start(next);
		next.recordStart(nowMs);
		next.waiting.poll().complete(true);
	}

	private void forgetIdle(String team) {
		TeamQueue queue = this.teams.get(team);
		if (queue != null && queue.running == 0 && queue.waiting.isEmpty()) {
			this.teams.remove(team);
		}
	}

	private static final class TeamQueue {

		private final Deque<CompletableFuture<Boolean>> waiting = new ArrayDeque<>();

		private int running;

		private int weight = 1;

		private long lastStartMs;

		private double smoothedGapMs;

		void recordStart(long nowMs) {
			double gapMs = nowMs - this.lastStartMs;
			this.smoothedGapMs += (this.lastStartMs != 0) ? GAP_SMOOTHING * (gapMs - this.smoothedGapMs) : 0;
			this.lastStartMs = nowMs;
		}

		double startGapMs() {
			return this.waiting.isEmpty() ? 0 : this.smoothedGapMs;
		}

		double share() {
			return (double) this.waiting.size() / this.weight;
		}

		double load() {
			return (double) this.running / this.weight;
		}

	}

	/**
	 * The decision on a request.
	 */
	public sealed interface Ticket {

		/**
		 * The request may run; {@link AdmissionQueue#leave} must be called when it ends.
		 */
		record Admitted() implements Ticket {
		}

		/**
		 * The request waits.
		 *
		 * @param admitted completes with {@code true} when the request may run, with
		 * {@code false} when it is displaced by a request of a team with a shorter queue
		 */
		record Waiting(CompletableFuture<Boolean> admitted) implements Ticket {
		}

		/**
		 * The request is refused.
		 *
		 * @param full whether the queue is full; otherwise the deadline is too near
		 * @param retryAfterMs the expected time until a slot is free, in milliseconds
		 */
		record Refused(boolean full, long retryAfterMs) implements Ticket {
		}

	}

}
