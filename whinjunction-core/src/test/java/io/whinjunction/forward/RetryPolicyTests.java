package io.whinjunction.forward;

import java.util.List;

import io.whinjunction.routing.RequestKind;
import io.whinjunction.routing.Route;
import io.whinjunction.routing.RouteLimits;
import io.whinjunction.routing.WeightedService;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whether a request is tried again, and what its answer may claim.
 */
class RetryPolicyTests {

	private static final AttemptOutcome[] ENDS = { new AttemptOutcome.NotSent("x"), new AttemptOutcome.NotRun("x"),
			new AttemptOutcome.Unknown("x"), new AttemptOutcome.Failed("x") };

	// A clerk's confirmation is billed twice: the first upstream ran it and its answer
	// was lost, and a second one ran it again.
	@Property
	void whatMustNotBeRepeatedIsNeverSentAgainAfterItMayHaveRun(@ForAll @IntRange(min = 0, max = 3) int end,
			@ForAll boolean before, @ForAll @IntRange(min = 1, max = 4) int sent) {
		boolean mayHaveRun = before || end >= 2;

		RetryDecision next = RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 4), ENDS[end],
				new RetryPolicy.History(sent, 0, before), 1000, () -> true);

		if (mayHaveRun) {
			assertThat(next).isInstanceOf(RetryDecision.Fail.class);
		}
	}

	// A caller is told that its request has not run, sends it again, and it runs twice.
	@Property
	void aRefusalIsOnlySaidWhereNothingCanHaveRun(@ForAll @IntRange(min = 0, max = 3) int end, @ForAll boolean before,
			@ForAll @IntRange(min = 0, max = 2) int kind, @ForAll @IntRange(min = 0, max = 100) long leftMs) {
		RetryDecision next = RetryPolicy.next(route(RequestKind.values()[kind], 2), ENDS[end],
				new RetryPolicy.History(5, 5, before), leftMs, () -> false);

		boolean mayHaveRun = before || end >= 2;
		assertThat(next).isInstanceOf(mayHaveRun ? RetryDecision.Fail.class : RetryDecision.Refuse.class);
	}

	@Test
	void aRouteThatAllowsOneUpstreamGetsOneSend() {
		assertThat(next(RequestKind.NON_IDEMPOTENT, 1, new AttemptOutcome.NotRun("x"), 1))
			.isInstanceOf(RetryDecision.Refuse.class);
	}

	@Test
	void aFailureOfAnIdempotentRequestIsTriedAgainOnce() {
		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.Failed("x"), 1))
			.isInstanceOf(RetryDecision.Retry.class);
		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.Failed("x"), 2)).isInstanceOf(RetryDecision.Fail.class);
	}

	@Test
	void whatWasLostOrNotRunIsTriedOnceMoreAtUpstreamsThatWereTried() {
		Route route = route(RequestKind.IDEMPOTENT, 2);

		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.NotRun("x"), 2))
			.isInstanceOf(RetryDecision.Retry.class);
		assertThat(RetryPolicy.onlyTriedOnes(route, 2)).isTrue();
		assertThat(RetryPolicy.onlyTriedOnes(route, 1)).isFalse();
		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.NotRun("x"), 3)).isInstanceOf(RetryDecision.Refuse.class);
	}

	@Test
	void nothingIsTriedWithoutBudgetOrTime() {
		Route route = route(RequestKind.IDEMPOTENT, 2);
		RetryPolicy.History once = new RetryPolicy.History(1, 0, false);

		assertThat(RetryPolicy.next(route, new AttemptOutcome.NotRun("x"), once, 1000, () -> false))
			.isInstanceOf(RetryDecision.Refuse.class);
		assertThat(
				RetryPolicy.next(route, new AttemptOutcome.NotRun("x"), once, RetryPolicy.LEAST_USEFUL_MS - 1, () -> true))
			.isInstanceOf(RetryDecision.Refuse.class);
	}

	@Test
	void aFirstSendAfterAnUpstreamThatCouldNotBeReachedCostsNoBudget() {
		RetryDecision next = RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 1), new AttemptOutcome.NotSent("x"),
				new RetryPolicy.History(0, 1, false), 1000, () -> false);

		assertThat(next).isInstanceOf(RetryDecision.Retry.class);
	}

	private static RetryDecision next(RequestKind kind, int most, AttemptOutcome end, int sent) {
		return RetryPolicy.next(route(kind, most), end, new RetryPolicy.History(sent, 0, false), 1000, () -> true);
	}

	private static Route route(RequestKind kind, int most) {
		return new Route("r", "a", "/", kind, List.of(new WeightedService("s", 1)),
				new RouteLimits(800, 100, 0, most, 1), false, false);
	}

}
