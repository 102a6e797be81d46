package io.whinjunction.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The sum of the retries of all routers.
 */
class FleetRetryBudgetTests {

	private static final double RATIO = 0.2;

	private static final double SLACK = 198;

	private static final long WINDOW_MS = 10_000;

	/** A start so long ago that the whole share is available. */
	private static final long START = -2 * WINDOW_MS;

	// Guards against retries that keep failing upstreams overloaded. Eight routers
	// retry as much as they can for a minute, while some of them are replaced by
	// routers without a record of what was spent. The sum must stay within the bound
	// in every window.
	@Property(tries = 20)
	void theSumOfAllRoutersStaysWithinTheBoundWhileSomeAreReplaced(@ForAll long seed) {
		Random random = new Random(seed);
		List<FleetRetryBudget> routers = new ArrayList<>();
		for (int index = 0; index < 8; index++) {
			routers.add(new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, START));
		}
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
			if (nowMs % 10_000 == 5_000) {
				routers.set(random.nextInt(8), new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, nowMs));
			}
			FleetRetryBudget router = routers.get(random.nextInt(8));
			router.requested(nowMs);
			requests.add(nowMs);
			while (RetrySender.send(router, nowMs, 8)) {
				retries.add(nowMs);
			}
			long from = nowMs - WINDOW_MS;
			requests.removeIf((atMs) -> atMs <= from);
			retries.removeIf((atMs) -> atMs <= from);
			assertThat(retries.size()).isLessThanOrEqualTo((int) (RATIO * requests.size() + SLACK));
		}
	}

	// Guards against a fleet that restarts amid failures: each process had a whole share
	// of the slack again, within the window in which its predecessor had spent one.
	@Property(tries = 20)
	void theSumOfAllRoutersStaysWithinTheBoundWhenAllRestart(@ForAll long seed) {
		Random random = new Random(seed);
		List<FleetRetryBudget> routers = new ArrayList<>();
		for (int index = 0; index < 8; index++) {
			routers.add(new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, START));
		}
		long restartMs = 1000 + random.nextInt(20_000);
		int[] requests = new int[1];
		int[] retries = new int[1];
		for (long nowMs = 0; nowMs < restartMs + WINDOW_MS; nowMs += 50) {
			if (nowMs / 50 == restartMs / 50) {
				long startedMs = nowMs;
				routers.replaceAll((router) -> new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, startedMs));
			}
			// The failures begin shortly before the restart.
			boolean fails = nowMs > restartMs - 500;
			FleetRetryBudget router = routers.get(random.nextInt(8));
			router.requested(nowMs);
			requests[0] += (nowMs > restartMs - 500) ? 1 : 0;
			while (fails && RetrySender.send(router, nowMs, 8)) {
				retries[0]++;
			}
		}

		assertThat(retries[0]).isLessThanOrEqualTo((int) (RATIO * requests[0] + SLACK));
	}

	// Guards against processes that earn retries anew at each start: a fleet under full
	// load, all or some of whose processes are killed once or several times within a
	// window, while most requests fail.
	@Property(tries = 40)
	void theSumOfAllRoutersStaysWithinTheBoundAmidRestartsUnderLoad(@ForAll long seed) {
		Random random = new Random(seed);
		int size = 4 + random.nextInt(17);
		int perSecond = 50 + random.nextInt(450);
		List<FleetRetryBudget> routers = new ArrayList<>();
		for (int index = 0; index < size; index++) {
			routers.add(new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, START));
		}
		long failsFromMs = 20_000 + random.nextInt(5000);
		long[] restartsMs = random.longs(1 + random.nextInt(5), failsFromMs, failsFromMs + WINDOW_MS).toArray();
		double restarted = 0.3 + 0.7 * random.nextDouble();
		Series requests = new Series();
		Series retries = new Series();
		double due = 0;
		for (long nowMs = 0; nowMs < failsFromMs + 3 * WINDOW_MS; nowMs += Series.STEP_MS) {
			long startedMs = nowMs;
			if (LongStream.of(restartsMs).anyMatch((atMs) -> atMs / Series.STEP_MS == startedMs / Series.STEP_MS)) {
				routers.replaceAll((router) -> (random.nextDouble() < restarted)
						? new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, startedMs) : router);
			}
			int sent = 0;
			int retried = 0;
			for (due += perSecond * Series.STEP_MS / 1000.0; due >= 1; due--) {
				FleetRetryBudget router = routers.get(random.nextInt(size));
				router.requested(nowMs);
				sent++;
				for (int retry = 0; retry < 2 && nowMs >= failsFromMs; retry++) {
					retried += RetrySender.send(router, nowMs, size) ? 1 : 0;
				}
			}
			requests.add(sent);
			retries.add(retried);
			int most = Math.max(requests.inWindow(0),
					Math.max(requests.inWindow(WINDOW_MS), requests.inWindow(WINDOW_MS / 2)));
			assertThat(retries.inWindow(0)).as("at %d ms", nowMs).isLessThanOrEqualTo((int) (RATIO * most + SLACK));
		}
		assertThat(retries.total()).isPositive();
	}

	// Guards against a retry that arrived and is counted no more, as another one, granted
	// earlier, reached nobody and was given back.
	@Test
	void aReturnedRetryDoesNotTakeTheCountOfAnother() {
		FleetRetryBudget budget = new FleetRetryBudget(0, 3, WINDOW_MS, START);
		FleetRetryBudget.Retry returned = budget.acquire(0, 1).orElseThrow();
		assertThat(RetrySender.send(budget, 5000, 1)).isTrue();

		assertThat(returned.giveBack()).isTrue();

		assertThat(RetrySender.send(budget, 5000, 1)).as("the one that was returned").isTrue();
		assertThat(RetrySender.send(budget, 12_000, 1)).as("two were sent at 5 s").isFalse();
	}

	// Guards against retries that were granted in several windows and arrive together, as
	// their upstream did not accept connections meanwhile.
	@Test
	void retriesThatHaveNotArrivedYetAreCountedUntilTheyDo() {
		FleetRetryBudget budget = new FleetRetryBudget(0, 3, WINDOW_MS, START);
		int underWay = 0;
		for (long nowMs = 0; nowMs < 3 * WINDOW_MS; nowMs += 100) {
			underWay += budget.acquire(nowMs, 1).isPresent() ? 1 : 0;
		}

		assertThat(underWay).isEqualTo(2);
	}

	@Test
	void aRetryIsCountedForAWindowAfterItHasArrived() {
		FleetRetryBudget budget = new FleetRetryBudget(0, 2, WINDOW_MS, START);
		FleetRetryBudget.Retry late = budget.acquire(0, 1).orElseThrow();
		late.settle(2 * WINDOW_MS);
		late.settle(0);

		assertThat(RetrySender.send(budget, 3 * WINDOW_MS - 1, 1)).isFalse();
		assertThat(RetrySender.send(budget, 3 * WINDOW_MS + WINDOW_MS / 10, 1)).isTrue();
	}

	// Guards against a loan that its lender counts no more when it arrives late.
	@Test
	void aBorrowedRetryThatArrivesLateIsCountedByItsBorrower() {
		FleetRetryBudget borrower = new FleetRetryBudget(0, 2, WINDOW_MS, START);
		borrower.useLoan(0).settle(borrower.loanValidityMs());
		assertThat(borrower.usage(0, 1).retries()).isZero();

		borrower.useLoan(0).settle(borrower.loanValidityMs() + 1);
		assertThat(borrower.usage(borrower.loanValidityMs() + 1, 1).retries()).isEqualTo(1);
	}

	@Test
	void aSingleFailureIsRetriedAtOnce() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, START);
		budget.requested(0);

		assertThat(RetrySender.send(budget, 0, 8)).isTrue();
	}

	// Guards against a process that retries nothing for a whole window after its start.
	@Test
	void aProcessThatHasJustStartedEarnsRetriesByItsRequestsAndItsTime() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, 0);
		assertThat(RetrySender.send(budget, 0, 8)).isFalse();

		assertThat(RetrySender.send(budget, WINDOW_MS / 4, 8)).as("by the time").isTrue();
		assertThat(RetrySender.send(budget, WINDOW_MS / 4, 8)).isFalse();

		for (int request = 0; request < 1 / RATIO / 0.2; request++) {
			budget.requested(WINDOW_MS / 4);
		}
		assertThat(RetrySender.send(budget, WINDOW_MS / 4, 8)).as("by its requests").isTrue();
		assertThat(RetrySender.send(budget, WINDOW_MS / 4, 8)).isFalse();
	}

	@Test
	void aProcessThatDoesNotKnowHowManyRoutersThereAreUsesNoSlack() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, START);

		assertThat(RetrySender.send(budget, 0, 0)).isFalse();
	}

	@Test
	void theBudgetIsRestoredAfterTheWindow() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, 12, WINDOW_MS, START);
		while (RetrySender.send(budget, 0, 8)) {
			budget.requested(0);
		}

		assertThat(RetrySender.send(budget, WINDOW_MS / 2, 8)).isFalse();
		assertThat(RetrySender.send(budget, 2 * WINDOW_MS, 8)).isTrue();
	}

	/** Counts of events in steps of equal length. */
	private static final class Series {

		static final long STEP_MS = 10;

		/** The sums of all steps so far. */
		private final List<Integer> sums = new ArrayList<>(List.of(0));

		void add(int events) {
			this.sums.add(total() + events);
		}

		int total() {
			return this.sums.getLast();
		}

		/** Returns the events of the window that ended so long before the last step. */
		int inWindow(long agoMs) {
			return sumBefore(agoMs) - sumBefore(agoMs + WINDOW_MS);
		}

		private int sumBefore(long agoMs) {
			return this.sums.get((int) Math.max(0, this.sums.size() - 1 - agoMs / STEP_MS));
		}

	}

}
