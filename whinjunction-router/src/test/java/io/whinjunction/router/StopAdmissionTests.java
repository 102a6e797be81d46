package io.whinjunction.router;

import io.whinjunction.routing.RequestKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which attempts a process that was ordered to stop still begins.
 */
class StopAdmissionTests {

	private static final StopAdmission.Family DRAFTS = new StopAdmission.Family("llm", RequestKind.STREAMING);

	private static final PeerTable.ReachablePeers ENOUGH = new PeerTable.ReachablePeers(2, 2);

	private static final PeerTable.ReachablePeers TOO_FEW = new PeerTable.ReachablePeers(2, 1);

	private static final long[] NONE = {};

	private final StopAdmission admission = new StopAdmission();

	private final StopSchedule schedule = new StopSchedule(0, 8_000);

	// Half of the drafts take 2 s, one in ten takes 6 s. At 2 s, 5.5 s are left, and
	// one in ten would be cut in the middle.
	@Test
	void anAttemptBeginsOnlyIfAlmostAllCompleteInTime() {
		serve(9, 2_000, 1, 6_000);

		assertThat(begins(1_000, true, ENOUGH)).isTrue();
		assertThat(begins(2_000, true, ENOUGH)).isFalse();
	}

	@Test
	void anUnrepeatableAttemptBeginsOnlyIfItIsCertainToComplete() {
		serve(32, 2_000, 1, 6_000);

		assertThat(begins(2_000, true, ENOUGH)).isTrue();
		assertThat(begins(2_000, false, ENOUGH)).isFalse();
	}

	// All routers of a failure domain stop one after the other. A caller refused here
	// is sent to another router that stops, which uses up its one remaining try.
	@Test
	void ifThePeersDoNotSufficeAnAttemptBeginsAsLongAsRequestsAreServed() {
		serve(9, 2_000, 1, 6_000);

		assertThat(begins(2_000, true, TOO_FEW)).isTrue();
		assertThat(begins(3_000, true, TOO_FEW)).isFalse();
	}

	@Test
	void withoutKnownDurationsAnAttemptBeginsAsLongAsRequestsAreServed() {
		assertThat(begins(2_700, true, ENOUGH)).isTrue();
		assertThat(begins(2_800, true, ENOUGH)).isFalse();
	}

	// A status check that its upstream rejected is retried at another one: it takes 20
	// ms, and 4 s are left.
	@Test
	void aShortAttemptBeginsLateAsWell() {
		serve(9, 20, 1, 60);

		assertThat(begins(3_500, true, ENOUGH)).isTrue();
		assertThat(begins(6_600, true, ENOUGH)).isFalse();
	}

	// A bookings service answers many status checks in 20 ms and few bookings, which
	// take 6 s. A booking that begins at 2 s would be cut, and its caller could not
	// know whether it was made.
	@Test
	void anActionIsNotJudgedByTheStatusChecksOfItsService() {
		StopAdmission.Family checks = new StopAdmission.Family("llm", RequestKind.IDEMPOTENT);
		StopAdmission.Family bookings = new StopAdmission.Family("llm", RequestKind.NON_IDEMPOTENT);
		for (int request = 0; request < RecentDurations.KEPT; request++) {
			this.admission.answered((request % 4 > 0) ? checks : bookings, (request % 4 > 0) ? 20 : 6_000);
		}

		assertThat(this.admission.judge(this.schedule, 2_000, attempt(bookings, false), NONE, ENOUGH).begins())
			.isFalse();
		assertThat(this.admission.judge(this.schedule, 2_000, attempt(checks, true), NONE, ENOUGH).begins()).isTrue();
	}

	// Twenty bookings of 20 ms do not show whether one in a hundred takes longer.
	@Test
	void fewShortActionsDoNotLetALateOneBegin() {
		for (int request = 0; request < 20; request++) {
			this.admission.answered(DRAFTS, 20);
		}

		assertThat(begins(3_500, false, ENOUGH)).isFalse();
		assertThat(begins(3_500, true, ENOUGH)).isTrue();
	}

	// A status check breaks off late in a stop, and no durations are known. Its route
	// ends it after 1.5 s, and 3 s are left.
	@Test
	void anAttemptThatItsRouteEndsInTimeBegins() {
		StopAdmission.Candidate check = new StopAdmission.Candidate(DRAFTS, false, false, false, 1_500);

		assertThat(this.admission.judge(this.schedule, 4_500, check, NONE, ENOUGH).begins()).isTrue();
		assertThat(this.admission.judge(this.schedule, 6_500, check, NONE, TOO_FEW).begins()).isFalse();
	}

	@Test
	void aRepeatableRequestIsRetriedLateIfThePeersDoNotSuffice() {
		StopAdmission.Candidate again = new StopAdmission.Candidate(DRAFTS, true, true, false, Long.MAX_VALUE);

		assertThat(this.admission.judge(this.schedule, 4_500, again, NONE, TOO_FEW).begins()).isTrue();
		assertThat(this.admission.judge(this.schedule, 4_500, again, NONE, ENOUGH).begins()).isFalse();
	}

	// A draft for an editor is cut by the stop of one router, and resumes at another
	// router that was ordered to stop in the meantime. If that router refused it, the
	// caller's last try would be used up without finding a router.
	@Test
	void aStreamThatBrokeOffResumesEvenIfPeersWouldServeIt() {
		serve(9, 2_000, 1, 6_000);
		StopAdmission.Candidate resumed = new StopAdmission.Candidate(DRAFTS, true, false, true, Long.MAX_VALUE);

		assertThat(this.admission.judge(this.schedule, 2_000, resumed, NONE, ENOUGH).begins()).isTrue();
		assertThat(this.admission.judge(this.schedule, 3_000, resumed, NONE, ENOUGH).begins()).isFalse();
	}

	private static StopAdmission.Candidate attempt(StopAdmission.Family family, boolean repeatable) {
		return new StopAdmission.Candidate(family, repeatable, false, false, Long.MAX_VALUE);
	}

	private void serve(int most, long mostMs, int some, long someMs) {
		for (int request = 0; request < RecentDurations.KEPT; request++) {
			this.admission.answered(DRAFTS, (request % (most + some) < most) ? mostMs : someMs);
		}
	}

	private boolean begins(long nowMs, boolean repeatable, PeerTable.ReachablePeers others) {
		return this.admission.judge(this.schedule, nowMs, attempt(DRAFTS, repeatable), NONE, others).begins();
	}

}
