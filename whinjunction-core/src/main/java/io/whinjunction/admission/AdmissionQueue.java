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
 * time and one large team would fill the queue. A free slot goes to the waiting team with
 * the fewest running requests for its weight; a request that cannot make its deadline, or
 * that finds the queue or its team's part of it full, is refused at once.
 * <p>
 * Invariants: running requests are at most the slots; a waiting request is ended exactly
 * once. Safe for all threads.
 */
public final class AdmissionQueue {

	private static final double SMOOTHING = 0.05;

	/** A team may hold at most this part of the queue. */
	private static final double TEAM_PART = 0.5;

	private final int slots;

	private final int maxWaiting;

	private final Map<String, TeamQueue> teams = new HashMap<>();

	private int running;

	private int waiting;

	private double smoothedServiceMs;

	/**
	 * A queue.
	 * @param slots how many requests may run
	 * @param maxWaiting how many may wait
	 */
	public AdmissionQueue(int slots, int maxWaiting) {
		this.slots = slots;
		this.maxWaiting = maxWaiting;
	}

	/**
	 * Asks to run.
	 * @param team the team
	 * @param weight its weight
	 * @param budgetMs how long it may wait, in milliseconds
	 * @return what became of it
	 */
	public synchronized Ticket enter(String team, int weight, long budgetMs) {
		TeamQueue queue = this.teams.computeIfAbsent(team, (name) -> new TeamQueue());
		queue.weight = weight;
		if (this.running < this.slots && this.waiting == 0) {
			start(queue);
			return new Ticket.Admitted();
		}
		long waitMs = expectedWaitMs();
		boolean full = this.waiting >= this.maxWaiting || queue.waiting.size() >= this.maxWaiting * TEAM_PART;
		if (full || waitMs > budgetMs) {
			return new Ticket.Refused(full, Math.max(1, waitMs));
		}
		CompletableFuture<Void> turn = new CompletableFuture<>();
		queue.waiting.add(turn);
		this.waiting++;
		return new Ticket.Waiting(turn);
	}

	/**
	 * A running request ended.
	 * @param team its team
	 * @param tookMs how long it ran
	 */
	public synchronized void leave(String team, double tookMs) {
		this.smoothedServiceMs = (this.smoothedServiceMs == 0) ? tookMs
				: this.smoothedServiceMs + SMOOTHING * (tookMs - this.smoothedServiceMs);
		this.running--;
		this.teams.get(team).running--;
		startNext();
		forgetIdle(team);
	}

	/**
	 * A waiting request gives up.
	 * @param team its team
	 * @param ticket its ticket
	 * @return {@code true} where it had not been started; {@code false}: it runs
	 */
	public synchronized boolean giveUp(String team, Ticket.Waiting ticket) {
		boolean removed = this.teams.get(team).waiting.remove(ticket.turn());
		if (removed) {
			this.waiting--;
			forgetIdle(team);
		}
		return removed;
	}

	/**
	 * Requests that run.
	 * @return their number
	 */
	public synchronized int running() {
		return this.running;
	}

	/**
	 * Requests that wait.
	 * @return their number
	 */
	public synchronized int waiting() {
		return this.waiting;
	}

	private long expectedWaitMs() {
		return (long) (this.smoothedServiceMs * (this.waiting + 1) / this.slots);
	}

	private void start(TeamQueue queue) {
		queue.running++;
		this.running++;
	}

	private void startNext() {
		TeamQueue next = null;
		for (TeamQueue queue : this.teams.values()) {
			if (!queue.waiting.isEmpty() && (next == null || queue.load() < next.load())) {
				next = queue;
			}
		}
		if (next != null) {
			this.waiting--;
			start(next);
			next.waiting.poll().complete(null);
		}
	}

	private void forgetIdle(String team) {
		TeamQueue queue = this.teams.get(team);
		if (queue.running == 0 && queue.waiting.isEmpty()) {
			this.teams.remove(team);
		}
	}

	private static final class TeamQueue {

		private final Deque<CompletableFuture<Void>> waiting = new ArrayDeque<>();

		private int running;

		private int weight = 1;

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
		 * @param turn completes when it runs
		 */
		record Waiting(CompletableFuture<Void> turn) implements Ticket {
		}

		/**
		 * It is refused.
		 *
		 * @param full whether the queue is full, rather than its deadline too near
		 * @param comeBackMs when a slot is to be expected
		 */
		record Refused(boolean full, long comeBackMs) implements Ticket {
		}

	}

}
