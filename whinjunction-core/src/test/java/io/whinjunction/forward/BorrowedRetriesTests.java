package io.whinjunction.forward;

import java.util.OptionalLong;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The retries that a router borrows, and those that another one lends.
 */
class BorrowedRetriesTests {

	private static final long WINDOW_MS = 10_000;

	private static final long VALIDITY_MS = WINDOW_MS / 20;

	private final BorrowedRetries borrowed = new BorrowedRetries(VALIDITY_MS, new Random(1));

	@Test
	void aLoanIsUsedOnce() {
		long number = this.borrowed.ask(0).orElseThrow();
		assertThat(this.borrowed.use(1)).isFalse();

		assertThat(this.borrowed.answered(number, true, 2)).isTrue();

		assertThat(this.borrowed.use(3)).isTrue();
		assertThat(this.borrowed.use(4)).isFalse();
	}

	// Guards against two retries for one loan: a datagram may arrive twice.
	@Test
	void aDuplicatedAnswerGivesNoSecondRetry() {
		long number = this.borrowed.ask(0).orElseThrow();
		this.borrowed.answered(number, true, 2);

		assertThat(this.borrowed.answered(number, true, 3)).isFalse();

		assertThat(this.borrowed.use(4)).isTrue();
		assertThat(this.borrowed.use(5)).isFalse();
	}

	// Guards against a retry that nobody counts any more: the lender counts a loan for
	// one bucket longer than a window, no more.
	@Test
	void aLateAnswerGivesNoRetry() {
		long number = this.borrowed.ask(0).orElseThrow();

		assertThat(this.borrowed.answered(number, true, VALIDITY_MS)).isFalse();

		assertThat(this.borrowed.use(VALIDITY_MS)).isFalse();
	}

	// Guards against a loan that is kept for later, when the lender does not count it any
	// more.
	@Test
	void aLoanIsNotUsedAfterItsValidity() {
		long number = this.borrowed.ask(0).orElseThrow();
		this.borrowed.answered(number, true, 2);

		assertThat(this.borrowed.use(VALIDITY_MS)).isFalse();
	}

	// Guards against retries from answers to questions of a predecessor at the same
	// address.
	@Test
	void anAnswerWithoutAQuestionGivesNoRetry() {
		long number = new BorrowedRetries(VALIDITY_MS, new Random(2)).ask(0).orElseThrow();
		this.borrowed.ask(0);

		assertThat(this.borrowed.answered(number, true, 1)).isFalse();
		assertThat(this.borrowed.use(2)).isFalse();
	}

	@Test
	void aRefusalGivesNoRetry() {
		long number = this.borrowed.ask(0).orElseThrow();

		assertThat(this.borrowed.answered(number, false, 1)).isFalse();
		assertThat(this.borrowed.use(2)).isFalse();
	}

	// Guards against questions that fill the memory while no peer answers, and against
	// none being asked ever again.
	@Test
	void unansweredQuestionsAreBoundedUntilTheyExpire() {
		OptionalLong last = OptionalLong.of(0);
		for (int asked = 0; asked < 1000; asked++) {
			last = this.borrowed.ask(0);
		}
		assertThat(last).isEmpty();

		assertThat(this.borrowed.ask(VALIDITY_MS)).isPresent();
	}

	// Guards against a lender that uses its share again while the borrower's retry is
	// still within the window.
	@Test
	void aLoanIsCountedForAWindowAfterItsLatestUse() {
		FleetRetryBudget lender = new FleetRetryBudget(0, 3, WINDOW_MS, -2 * WINDOW_MS);
		long lentMs = VALIDITY_MS - 1;
		assertThat(lender.lend(lentMs, 1)).isTrue();

		long latestUseMs = lentMs + VALIDITY_MS - 1;
		long nowMs = latestUseMs + WINDOW_MS;

		assertThat(RetrySender.send(lender, nowMs, 1)).isTrue();
		assertThat(RetrySender.send(lender, nowMs, 1)).isFalse();
		assertThat(RetrySender.send(lender, nowMs + 2 * VALIDITY_MS, 1)).isTrue();
	}

	// Guards against a lender whose own next stream finds nothing left.
	@Test
	void theLastRetryIsNotLent() {
		FleetRetryBudget lender = new FleetRetryBudget(0, 3, WINDOW_MS, -2 * WINDOW_MS);

		assertThat(lender.lend(0, 1)).isTrue();
		assertThat(lender.lend(0, 1)).isFalse();
		assertThat(RetrySender.send(lender, 0, 1)).isTrue();
		assertThat(RetrySender.send(lender, 0, 1)).isFalse();
	}

}
