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
 * Whether a request is retried, and what its final response may claim.
 */
class RetryPolicyTests {

	private static final AttemptOutcome[] OUTCOMES = { new AttemptOutcome.NotSent("x"), new AttemptOutcome.NotRun("x"),
			new AttemptOutcome.Unknown("x"), new AttemptOutcome.Failed("x") };

	// Guards against running a request twice, such as a confirmation that is then
	// billed twice: the first upstream ran it and its response was lost, and a second
	// upstream ran it again.
	@Property
	void aNonIdempotentRequestIsNeverRetriedAfterItMayHaveRun(@ForAll @IntRange(min = 0, max = 3) int outcome,
			@ForAll boolean before, @ForAll @IntRange(min = 1, max = 4) int sent) {
		boolean mayHaveRun = before || outcome >= 2;

		RetryDecision next = RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 4), OUTCOMES[outcome],
				new RetryPolicy.History(sent, 0, before), 1000, () -> true);

		if (mayHaveRun) {
			assertThat(next).isInstanceOf(RetryDecision.Fail.class);
		}
	}

	// Guards against running a request twice: the caller of a refused request may send it
	// again, because a refusal means that the request has not run.
	@Property
	void aRefusalIsOnlySentIfTheRequestCannotHaveRun(@ForAll @IntRange(min = 0, max = 3) int outcome,
			@ForAll boolean before, @ForAll @IntRange(min = 0, max = 2) int kind,
			@ForAll @IntRange(min = 0, max = 100) long leftMs) {
		RetryDecision next = RetryPolicy.next(route(RequestKind.values()[kind], 2), OUTCOMES[outcome],
				new RetryPolicy.History(5, 5, before), leftMs, () -> false);

		boolean mayHaveRun = before || outcome >= 2;
		assertThat(next).isInstanceOf(mayHaveRun ? RetryDecision.Fail.class : RetryDecision.Refuse.class);
	}

	@Test
	void aRouteThatAllowsOneUpstreamGetsOneSend() {
		assertThat(next(RequestKind.NON_IDEMPOTENT, 1, new AttemptOutcome.NotRun("x"), 1))
			.isInstanceOf(RetryDecision.Refuse.class);
	}

	@Test
	void aFailureOfAnIdempotentRequestIsRetriedOnce() {
		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.Failed("x"), 1))
			.isInstanceOf(RetryDecision.Retry.class);
		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.Failed("x"), 2))
			.isInstanceOf(RetryDecision.Fail.class);
	}

	@Test
	void aRequestThatWasNotRunIsRetriedOnceMoreAtUpstreamsAlreadyTried() {
		Route route = route(RequestKind.IDEMPOTENT, 2);

		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.NotRun("x"), 2))
			.isInstanceOf(RetryDecision.Retry.class);
		assertThat(RetryPolicy.onlyTriedUpstreams(route, 2)).isTrue();
		assertThat(RetryPolicy.onlyTriedUpstreams(route, 1)).isFalse();
		assertThat(next(RequestKind.IDEMPOTENT, 2, new AttemptOutcome.NotRun("x"), 3))
			.isInstanceOf(RetryDecision.Refuse.class);
	}

	@Test
	void nothingIsRetriedWithoutBudgetOrTime() {
		Route route = route(RequestKind.IDEMPOTENT, 2);
		RetryPolicy.History once = new RetryPolicy.History(1, 0, false);

		assertThat(RetryPolicy.next(route, new AttemptOutcome.NotRun("x"), once, 1000, () -> false))
			.isInstanceOf(RetryDecision.Refuse.class);
		assertThat(RetryPolicy.next(route, new AttemptOutcome.NotRun("x"), once, RetryPolicy.MIN_ATTEMPT_MS - 1,
				() -> true))
			.isInstanceOf(RetryDecision.Refuse.class);
	}

	// Guards against a log that gives the same reason for different obstacles.
	@Test
	void aDecisionNamesWhatPreventsAnotherAttempt() {
		AttemptOutcome lost = new AttemptOutcome.Unknown("x");
		RetryPolicy.History once = new RetryPolicy.History(1, 0, false);
		RetryPolicy.History thrice = new RetryPolicy.History(3, 0, false);

		assertThat(RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 2), lost, once, 1000, () -> true))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.NOT_REPEATABLE));
		assertThat(RetryPolicy.next(route(RequestKind.IDEMPOTENT, 2), lost, once, 1, () -> true))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.NO_TIME));
		assertThat(RetryPolicy.next(route(RequestKind.IDEMPOTENT, 2), lost, thrice, 1000, () -> true))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.SENDS_USED));
		assertThat(RetryPolicy.next(route(RequestKind.IDEMPOTENT, 2), lost, once, 1000, () -> false))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.NO_BUDGET));
	}

	@Test
	void aFirstSendAfterAnUnreachableUpstreamTakesNoBudget() {
		RetryDecision next = RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 1), new AttemptOutcome.NotSent("x"),
				new RetryPolicy.History(0, 1, false), 1000, () -> false);

		assertThat(next).isInstanceOf(RetryDecision.Retry.class);
	}

	private static RetryDecision next(RequestKind kind, int maxAttempts, AttemptOutcome outcome, int sent) {
		return RetryPolicy.next(route(kind, maxAttempts), outcome, new RetryPolicy.History(sent, 0, false), 1000,
				() -> true);
	}

	private static Route route(RequestKind kind, int maxAttempts) {
		return new Route("r", "a", "/", kind, List.of(new WeightedService("s", 1)),
				new RouteLimits(800, 100, 0, maxAttempts, 1), false, false);
	}

}
