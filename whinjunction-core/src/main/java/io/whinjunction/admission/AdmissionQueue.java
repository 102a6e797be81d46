package io.whinjunction.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Lets a bounded number of requests run and a bounded number wait, fairly between teams.
 * <p>
 * The failure it is there for: under overload everything would wait, nothing would be in
 * time and one large team would fill the queue. Room goes to the waiting team with the
 * fewest running requests for its weight; a request that cannot make its deadline is
 * refused at once; where the queue is full, the longest team's newest makes room.
 * <p>
 * Invariants: no request is started while the limit is reached; a waiting request is
 * ended exactly once. Safe for all threads.
 */
public final class AdmissionQueue {

	private static final double SMOOTHING = 0.05;

	/** Waits vary; a request joins only where it will very likely not wait in vain. */
	private static final double SURE_PART = 0.5;

	private static final double GAP_SMOOTHING = 0.1;

	/** The rest of the time is needed to run. */
	private static final double WAIT_PART = 0.25;

	private final ConcurrencyLimit limit;

	private final int maxWaiting;

	private final Map<String, TeamQueue> teams = new HashMap<>();

	private int running;

	private int waiting;

	private double smoothedServiceMs;

	/**
	 * A queue.
	 * @param limit how many requests may run
	 * @param maxWaiting how many may wait
	 */
	public AdmissionQueue(ConcurrencyLimit limit, int maxWaiting) {
		this.limit = limit;
		this.maxWaiting = maxWaiting;
	}

	/**
	 * How long a request may wait of the time that it has in all.
	 * @param allowedMs the time in all, in milliseconds
	 * @return the part of it
	 */
	public static long waitMs(long allowedMs) {
		return (long) (allowedMs * WAIT_PART);
	}

	/**
	 * Asks to run.
	 * @param team the team
	 * @param weight its weight
	 * @param allowedMs how long it may take, waiting included, in milliseconds
	 * @return what became of it
	 */
	public synchronized Ticket enter(String team, int weight, long allowedMs) {
		TeamQueue queue = this.teams.computeIfAbsent(team, (name) -> new TeamQueue());
		queue.weight = weight;
		if (this.running < this.limit.current() && this.waiting == 0) {
			start(queue);
			return new Ticket.Admitted();
		}
		long waitMs = expectedWaitMs(queue);
		if (waitMs > waitMs(allowedMs) * SURE_PART) {
			forgetIdle(team);
			return new Ticket.Refused(false, Math.max(1, waitMs));
		}
		if (this.waiting >= this.maxWaiting && !displaceFor(queue)) {
			forgetIdle(team);
			return new Ticket.Refused(true, Math.max(1, waitMs));
		}
		CompletableFuture<Boolean> turn = new CompletableFuture<>();
		queue.waiting.add(turn);
		this.waiting++;
		return new Ticket.Waiting(turn);
	}

	/**
	 * A running request made progress.
	 * @param nowMs the time
	 * @param paceMs how long its whole answer will have taken at this pace
	 * @param allowedMs how long it may take
	 */
	public synchronized void recordProgress(long nowMs, double paceMs, double allowedMs) {
		this.limit.recordProgress(nowMs, this.running, paceMs, allowedMs);
		startWaiting(nowMs);
	}

	/**
	 * A running request ended.
	 * @param team its team
	 * @param tookMs how long it ran
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
	 * A waiting request gives up.
	 * @param team its team
	 * @param ticket its ticket
	 * @return {@code true} where it had not been started; {@code false}: it runs
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
	 * How long a request runs as a rule, waiting left out.
	 * @return the smoothed time in milliseconds; 0 while none has ended
	 */
	public synchronized long typicalServiceMs() {
		return (long) this.smoothedServiceMs;
	}

	/**
	 * Requests that run.
	 * @return their number
	 */
	public synchronized int running() {
		return this.running;
	}

	/**
	 * Requests that may run.
	 * @return the limit now
	 */
	public synchronized int limit() {
		return this.limit.current();
	}

	/**
	 * Requests that wait.
	 * @return their number
	 */
	public synchronized int waiting() {
		return this.waiting;
	}

	// Turns go round between the teams that wait, so a short queue of one's own is soon
	// through, however long another team's is.
	private long expectedWaitMs(TeamQueue queue) {
		long round = this.teams.values().stream().filter((one) -> one != queue && !one.waiting.isEmpty()).count() + 1;
		double ahead = Math.min(this.waiting + 1.0, (queue.waiting.size() + 1.0) * round);
		double byRounds = this.smoothedServiceMs * ahead / this.limit.current();
		// How fast the team's own turns came lately tells what other teams leave to it.
		return (long) Math.max(byRounds, queue.turnGapMs() * (queue.waiting.size() + 1));
	}

	// The newest waiting request of the longest queue makes room and is refused at once.
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
		next.turn(nowMs);
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

		private long lastTurnMs;

		private double smoothedGapMs;

		void turn(long nowMs) {
			double gapMs = nowMs - this.lastTurnMs;
			this.smoothedGapMs += (this.lastTurnMs != 0) ? GAP_SMOOTHING * (gapMs - this.smoothedGapMs) : 0;
			this.lastTurnMs = nowMs;
		}

		double turnGapMs() {
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
	 * What became of a request that asked to run.
	 */
	public sealed interface Ticket {

		/**
		 * It runs; {@link AdmissionQueue#leave} has to follow.
		 */
		record Admitted() implements Ticket {
		}

		/**
		 * It waits.
		 *
		 * @param admitted completes with {@code true} when it runs, with {@code false} when
		 * it is refused to make room for a team that waits less
		 */
		record Waiting(CompletableFuture<Boolean> admitted) implements Ticket {
		}

		/**
		 * It is refused.
		 *
		 * @param full whether the queue is full, rather than its deadline too near
		 * @param retryAfterMs when a slot is to be expected
		 */
		record Refused(boolean full, long retryAfterMs) implements Ticket {
		}

	}

}
