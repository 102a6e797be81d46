package io.whinjunction.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The sum of the retries of all routers while they lend to each other and messages are
 * lost, late and duplicated.
 */
class RetryLoanPropertyTests {

	private static final long WINDOW_MS = 10_000;

	private static final long DURATION_MS = 60_000;

	private static final int STEP_MS = 10;

	/**
	 * How long a router is hot. It is hot while what it lent before is still counted, and
	 * uses its share again as soon as it can.
	 */
	private static final long HOT_MS = 9000;

	/** Longer than a loan is valid. */
	private static final int MAX_DELAY_MS = 2000;

	// Guards against retries that keep failing upstreams overloaded: hot routers borrow
	// whatever others lend, while some routers are replaced by ones without a record.
	@Property(tries = 20)
	void theSumOfEightRoutersStaysWithinTheBound(@ForAll long seed) {
		Fleet fleet = new Fleet(seed, 8, 0.2, 198);
		fleet.run();
		assertThat(fleet.borrowedUsed).as("loans that were used").isPositive();
	}

	// Guards against the same in a fleet in which each share is a few retries.
	@Property(tries = 10)
	void theSumOfEightyEightRoutersStaysWithinTheBound(@ForAll long seed) {
		Fleet fleet = new Fleet(seed, 88, 0.2, 360);
		fleet.run();
		assertThat(fleet.borrowedUsed).as("loans that were used").isPositive();
	}

	// Guards against a loan that neither the lender nor the borrower counts: without
	// requests, what a router and its borrowers send in a window is at most its share.
	@Property(tries = 20)
	void theShareOfEachLenderIsUsedOnceInAWindow(@ForAll long seed) {
		Fleet fleet = new Fleet(seed, 8, 0, 198);
		fleet.run();
		assertThat(fleet.borrowedUsed).as("loans that were used").isPositive();
	}

	/** Routers, of which a quarter at a time retry as much as they can. */
	private static final class Fleet {

		private final Random random;

		private final int size;

		private final double ratio;

		private final double slack;

		private final List<Node> routers = new ArrayList<>();

		private final Queue<Message> messages = new PriorityQueue<>(Comparator.comparingLong(Message::atMs));

		private final Deque<Long> requests = new ArrayDeque<>();

		private final Deque<Long> retries = new ArrayDeque<>();

		private int borrowedUsed;

		private long nowMs;

		Fleet(long seed, int size, double ratio, double slack) {
			this.random = new Random(seed);
			this.size = size;
			this.ratio = ratio;
			this.slack = slack;
			for (int index = 0; index < size; index++) {
				this.routers.add(new Node());
			}
		}

		void run() {
			for (; this.nowMs < DURATION_MS; this.nowMs += STEP_MS) {
				if (this.nowMs % 5000 == 2500) {
					this.routers.set(this.random.nextInt(this.size), new Node());
				}
				while (!this.messages.isEmpty() && this.messages.peek().atMs() <= this.nowMs) {
					this.messages.remove().delivery().run();
				}
				if (this.random.nextInt(5) == 0) {
					this.routers.get(this.random.nextInt(this.size)).budget.requested(this.nowMs);
					this.requests.add(this.nowMs);
				}
				for (int index = 0; index < this.size; index++) {
					if ((this.nowMs / HOT_MS + index) % 4 == 0) {
						retryAndBorrow(index);
					}
				}
			}
		}

		private void retryAndBorrow(int index) {
			Node router = this.routers.get(index);
			while (RetrySender.send(router.budget, this.nowMs, this.size)) {
				retried(router);
			}
			if (router.lender != null && this.random.nextInt(10) == 0) {
				if (router.borrowed.use(this.nowMs)) {
					this.borrowedUsed++;
					retried(router.lender);
				}
				router.lender = null;
			}
			// One question at a time, so that the lender of each retry is known.
			if (router.lender == null && this.nowMs >= router.askAgainAtMs) {
				router.borrowed.ask(this.nowMs).ifPresent((number) -> ask(index, number));
				router.askAgainAtMs = this.nowMs + router.budget.loanValidityMs();
			}
		}

		private void ask(int from, long number) {
			this.routers.get(from).question = number;
			int to = this.random.nextInt(this.size);
			send(() -> {
				Node lender = this.routers.get(to);
				boolean lent = lender.budget.lend(this.nowMs, this.size);
				send(() -> answered(this.routers.get(from), number, lent, lender));
			});
		}

		private void answered(Node borrower, long number, boolean lent, Node lender) {
			if (borrower.borrowed.answered(number, lent, this.nowMs)) {
				assertThat(borrower.lender).as("the lender of a retry that is not used yet").isNull();
				borrower.lender = lender;
			}
			else if (borrower.lender == null && borrower.question == number) {
				borrower.askAgainAtMs = this.nowMs;
			}
		}

		private void send(Runnable delivery) {
			int copies = switch (this.random.nextInt(10)) {
				case 0 -> 0;
				case 1 -> 2;
				default -> 1;
			};
			for (int copy = 0; copy < copies; copy++) {
				int delayMs = this.random.nextInt((this.random.nextInt(3) == 0) ? MAX_DELAY_MS : STEP_MS);
				this.messages.add(new Message(this.nowMs + delayMs, delivery));
			}
		}

		private void retried(Node counting) {
			counting.retries.add(this.nowMs);
			this.retries.add(this.nowMs);
			long fromMs = this.nowMs - WINDOW_MS;
			counting.retries.removeIf((atMs) -> atMs <= fromMs);
			this.retries.removeIf((atMs) -> atMs <= fromMs);
			this.requests.removeIf((atMs) -> atMs <= fromMs);
			assertThat(this.retries.size()).as("retries of all routers in a window")
				.isLessThanOrEqualTo((int) (this.ratio * this.requests.size() + this.slack));
			if (this.ratio == 0) {
				assertThat(counting.retries.size()).as("retries of one share in a window")
					.isLessThanOrEqualTo((int) (this.slack / (1.5 * this.size)));
			}
		}

		/** A router. */
		private final class Node {

			private final FleetRetryBudget budget = new FleetRetryBudget(Fleet.this.ratio, Fleet.this.slack, WINDOW_MS,
					-2 * WINDOW_MS);

			private final BorrowedRetries borrowed = new BorrowedRetries(this.budget.loanValidityMs(),
					Fleet.this.random);

			/** The retries that this router's share allowed, also those of borrowers. */
			private final Deque<Long> retries = new ArrayDeque<>();

			/** {@code null} without a loan that is not used yet. */
			private Node lender;

			/** The number of the newest question. */
			private long question;

			private long askAgainAtMs;

		}

	}

	private record Message(long atMs, Runnable delivery) {
	}

}
