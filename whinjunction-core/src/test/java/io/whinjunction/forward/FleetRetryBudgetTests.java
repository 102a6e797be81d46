package io.whinjunction.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
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
	@Tag("known-red")
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
	@Tag("known-red")
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
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		double due = 0;
		for (long nowMs = 0; nowMs < failsFromMs + 3 * WINDOW_MS; nowMs += 10) {
			long startedMs = nowMs;
			if (LongStream.of(restartsMs).anyMatch((atMs) -> atMs / 10 == startedMs / 10)) {
				routers.replaceAll((router) -> (random.nextDouble() < restarted)
						? new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, startedMs) : router);
			}
			for (due += perSecond / 100.0; due >= 1; due--) {
				FleetRetryBudget router = routers.get(random.nextInt(size));
				router.requested(nowMs);
				requests.add(nowMs);
				for (int retry = 0; retry < 2 && nowMs >= failsFromMs
						&& RetrySender.send(router, nowMs, size); retry++) {
					retries.add(nowMs);
				}
			}
			assertThat(within(retries, nowMs)).isLessThanOrEqualTo(bound(requests, nowMs));
		}
	}

	private static int bound(Deque<Long> requests, long nowMs) {
		requests.removeIf((atMs) -> atMs <= nowMs - 2 * WINDOW_MS);
		int most = Math.max(within(requests, nowMs),
				Math.max(within(requests, nowMs - WINDOW_MS), within(requests, nowMs - WINDOW_MS / 2)));
		return (int) (RATIO * most + SLACK);
	}

	private static int within(Deque<Long> timesMs, long endMs) {
		return (int) timesMs.stream().filter((atMs) -> atMs > endMs - WINDOW_MS && atMs <= endMs).count();
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
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, SLACK, WINDOW_MS, 0);
		budget.requested(0);

		assertThat(RetrySender.send(budget, 0, 8)).isTrue();
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

}
