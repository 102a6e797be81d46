package io.whinjunction.forward;

import java.util.List;
import java.util.Optional;

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

	private static final RetryPolicy.Grants GRANTED = (repeat) -> Optional.empty();

	private static final RetryPolicy.Grants NO_BUDGET = (repeat) -> repeat ? Optional.of(RetryObstacle.NO_BUDGET)
			: Optional.empty();

	// Guards against running a request twice, such as a confirmation that is then
	// billed twice: the first upstream ran it and its response was lost, and a second
	// upstream ran it again.
	@Property
	void aNonIdempotentRequestIsNeverRetriedAfterItMayHaveRun(@ForAll @IntRange(min = 0, max = 3) int outcome,
			@ForAll boolean before, @ForAll @IntRange(min = 1, max = 4) int sent) {
		boolean mayHaveRun = before || outcome >= 2;

		RetryDecision next = RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 4), OUTCOMES[outcome],
				history(sent, 0, before), 1000, GRANTED);

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
				history(5, 5, before), leftMs, NO_BUDGET);

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
		RetryPolicy.History once = history(1, 0, false);

		assertThat(RetryPolicy.next(route, new AttemptOutcome.NotRun("x"), once, 1000, NO_BUDGET))
			.isInstanceOf(RetryDecision.Refuse.class);
		assertThat(
				RetryPolicy.next(route, new AttemptOutcome.NotRun("x"), once, RetryPolicy.MIN_ATTEMPT_MS - 1, GRANTED))
			.isInstanceOf(RetryDecision.Refuse.class);
	}

	// Guards against an answer that is closed in its middle although its caller waits and
	// the obstacle may pass.
	@Property
	void anAnswerThatHasBegunAndCanBeResumedWaitsWhileTimeIsLeft(@ForAll @IntRange(min = 0, max = 3) int outcome,
			@ForAll @IntRange(min = 1, max = 50) int sent, @ForAll boolean progressed, @ForAll RetryObstacle obstacle) {
		RetryPolicy.History history = new RetryPolicy.History(sent, 0, sent, true, true, progressed);

		RetryDecision next = RetryPolicy.next(resumable(), OUTCOMES[outcome], history, RetryPolicy.MIN_ATTEMPT_MS,
				(repeat) -> Optional.of(obstacle));

		RetryObstacle expected = progressed ? obstacle : RetryObstacle.NO_PROGRESS;
		assertThat(next)
			.isEqualTo(expected.temporary() ? new RetryDecision.Wait(expected) : new RetryDecision.Fail(expected));
		assertThat(RetryPolicy.resume(RetryPolicy.MIN_ATTEMPT_MS - 1, GRANTED))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.NO_TIME));
	}

	// Guards against a log that gives the same reason for different obstacles.
	@Test
	void aDecisionNamesWhatPreventsAnotherAttempt() {
		AttemptOutcome lost = new AttemptOutcome.Unknown("x");
		RetryPolicy.History once = history(1, 0, false);
		RetryPolicy.History thrice = history(3, 0, false);

		assertThat(RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 2), lost, once, 1000, GRANTED))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.NOT_REPEATABLE));
		assertThat(RetryPolicy.next(route(RequestKind.IDEMPOTENT, 2), lost, once, 1, GRANTED))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.NO_TIME));
		assertThat(RetryPolicy.next(route(RequestKind.IDEMPOTENT, 2), lost, thrice, 1000, GRANTED))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.SENDS_USED));
		assertThat(RetryPolicy.next(route(RequestKind.IDEMPOTENT, 2), lost, once, 1000, NO_BUDGET))
			.isEqualTo(new RetryDecision.Fail(RetryObstacle.NO_BUDGET));
	}

	@Test
	void aFirstSendAfterAnUnreachableUpstreamTakesNoBudget() {
		RetryDecision next = RetryPolicy.next(route(RequestKind.NON_IDEMPOTENT, 1), new AttemptOutcome.NotSent("x"),
				history(0, 1, false), 1000, NO_BUDGET);

		assertThat(next).isInstanceOf(RetryDecision.Retry.class);
	}

	private static RetryPolicy.History history(int sent, int notSent, boolean mayHaveRun) {
		return new RetryPolicy.History(sent, 0, notSent, mayHaveRun, false, false);
	}

	private static RetryDecision next(RequestKind kind, int maxAttempts, AttemptOutcome outcome, int sent) {
		return RetryPolicy.next(route(kind, maxAttempts), outcome, history(sent, 0, false), 1000, GRANTED);
	}

	private static Route resumable() {
		return new Route("r", "a", "/", RequestKind.STREAMING, List.of(new WeightedService("s", 1)),
				new RouteLimits(800, 100, 0, 2, 1), false, true);
	}

	private static Route route(RequestKind kind, int maxAttempts) {
		return new Route("r", "a", "/", kind, List.of(new WeightedService("s", 1)),
				new RouteLimits(800, 100, 0, maxAttempts, 1), false, false);
	}

}
