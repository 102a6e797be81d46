package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The streams of a large fleet that break off at once.
 */
class RetryLoanLoadTests {

	private static final int ROUTERS = 88;

	private static final double RATIO = 0.2;

	private static final double SLACK = 360;

	private static final long WINDOW_MS = 10_000;

	private static final double REQUESTS_PER_SECOND = 1.6;

	private static final int MIN_STREAMS = 4;

	private static final int MAX_STREAMS = 8;

	private static final long IN_TIME_MS = 250;

	/** The longest time of one message, in milliseconds. */
	private static final int MAX_DELAY_MS = 5;

	/** The part of messages that are lost. */
	private static final double LOST = 0.02;

	private final List<Node> routers = new ArrayList<>();

	private final Queue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));

	private Random random;

	private long nowMs;

	private int streams;

	private int inTime;

	// Guards against streams that wait for the share of their own router while the other
	// routers need none of theirs: an engine ends, and several streams break off at once
	// at a third of the routers.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void nearlyAllBrokenStreamsGetARetryInTime(long seed) {
		breakOff(seed);

		assertThat((double) this.inTime / this.streams)
			.as("%d of %d streams get a retry in time", this.inTime, this.streams)
			.isGreaterThanOrEqualTo(0.98);
	}

	private void breakOff(long seed) {
		this.random = new Random(seed);
		for (int index = 0; index < ROUTERS; index++) {
			this.routers.add(new Node());
		}
		long brokenAtMs = 2 * WINDOW_MS;
		for (long atMs = 0; atMs < brokenAtMs; atMs++) {
			for (Node router : this.routers) {
				if (this.random.nextDouble() < REQUESTS_PER_SECOND / 1000) {
					router.budget.requested(atMs);
				}
			}
		}
		for (int index = 0; index < ROUTERS / 3; index++) {
			int count = MIN_STREAMS + this.random.nextInt(MAX_STREAMS - MIN_STREAMS + 1);
			for (int stream = 0; stream < count; stream++) {
				Node router = this.routers.get(index);
				ResumePauses pauses = new ResumePauses(this.random);
				this.streams++;
				this.events.add(new Event(brokenAtMs, () -> check(router, pauses)));
			}
		}
		while (!this.events.isEmpty() && this.events.peek().atMs() <= brokenAtMs + IN_TIME_MS) {
			Event event = this.events.remove();
			this.nowMs = event.atMs();
			event.action().run();
		}
	}

	private void check(Node router, ResumePauses pauses) {
		if (RetrySender.send(router.budget, this.nowMs, ROUTERS)) {
			this.inTime++;
			return;
		}
		if (router.borrowed.use(this.nowMs)) {
			this.inTime++;
			return;
		}
		ask(router);
		this.events.add(new Event(this.nowMs + pauses.nextMs(RetryObstacle.NO_BUDGET), () -> check(router, pauses)));
	}

	private void ask(Node borrower) {
		Node lender = this.routers.get(this.random.nextInt(ROUTERS));
		borrower.borrowed.ask(this.nowMs).ifPresent((number) -> send(() -> {
			boolean lent = lender.budget.lend(this.nowMs, ROUTERS);
			send(() -> borrower.borrowed.answered(number, lent, this.nowMs));
		}));
	}

	private void send(Runnable delivery) {
		if (this.random.nextDouble() >= LOST) {
			this.events.add(new Event(this.nowMs + 1 + this.random.nextInt(MAX_DELAY_MS), delivery));
		}
	}

	/** A router. */
	private final class Node {

		private final FleetRetryBudget budget = new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, -2 * WINDOW_MS);

		private final BorrowedRetries borrowed = new BorrowedRetries(this.budget.loanValidityMs(),
				RetryLoanLoadTests.this.random);

	}

	private record Event(long atMs, Runnable action) {
	}

}
