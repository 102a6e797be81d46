package io.whinjunction.reachability;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceReachabilityTests {

	private static final int UPSTREAMS = 38;

	private final ServiceReachability service = new ServiceReachability();

	@Test
	void oneUpstreamThatIsNotReachedIsJudgedAlone() {
		this.service.connectFailed("a", 100);

		assertThat(judge(500)).isEqualTo(Reachability.REACHED);
	}

	@Test
	void severalUpstreamsThatAreNotReachedPutThePathsInDoubt() {
		this.service.connectFailed("a", 100);
		this.service.connectFailed("b", 110);

		assertThat(judge(500)).isEqualTo(Reachability.DOUBTFUL);
	}

	@Test
	void anUpstreamIsEnoughIfThereIsNoOther() {
		this.service.connectFailed("a", 100);

		assertThat(this.service.judge(1, 0, 500)).isEqualTo(Reachability.DOUBTFUL);
	}

	@Test
	void anUpstreamIsEnoughIfAnotherServiceIsNotReachedEither() {
		this.service.connectFailed("a", 100);

		assertThat(this.service.judge(UPSTREAMS, 1, 500)).isEqualTo(Reachability.DOUBTFUL);
	}

	@Test
	void aRouterIsCutOffIfAPeerReachesAnUpstreamLater() {
		failTwo(100);
		this.service.peerContact(100 + ServiceReachability.CONTACT_MARGIN_MS);

		assertThat(judge(500)).isEqualTo(Reachability.CUT_OFF);
	}

	// Guards against a loss of all upstreams that is taken for a cut because a peer
	// reached one just before.
	@Test
	void anEarlierContactOfAPeerProvesNoCut() {
		this.service.peerContact(100 + ServiceReachability.CONTACT_MARGIN_MS - 1);
		failTwo(100);

		assertThat(judge(500)).isEqualTo(Reachability.DOUBTFUL);
		assertThat(judge(500 + ServiceReachability.CONFIRM_MS)).isEqualTo(Reachability.LOST);
	}

	@Test
	void upstreamsThatSeemedLostAreFoundWhenAPeerReachesOne() {
		failTwo(100);
		judge(500);
		judge(500 + ServiceReachability.CONFIRM_MS);
		this.service.peerContact(5000);

		assertThat(judge(5000)).isEqualTo(Reachability.CUT_OFF);
	}

	// Guards against a cut that counts as over each time a later attempt fails too.
	@Test
	void furtherFailuresDoNotOutdateTheContactOfAPeer() {
		failTwo(100);
		this.service.peerContact(200);
		judge(300);
		failTwo(2000);

		assertThat(judge(2500)).isEqualTo(Reachability.CUT_OFF);
	}

	@Test
	void aConnectionEndsTheCut() {
		failTwo(100);
		this.service.peerContact(200);
		judge(500);
		this.service.connected("c", 600);

		assertThat(judge(600)).isEqualTo(Reachability.REACHED);
		assertThat(this.service.unconnected()).containsExactlyInAnyOrder("a", "b");
	}

	// Guards against a router that trusts open connections while all new ones are
	// refused.
	@Test
	void dataOfAnOpenConnectionDoesNotShowThatNewOnesCanBeMade() {
		failTwo(100);
		this.service.heard("c", 400);

		assertThat(judge(500)).isEqualTo(Reachability.DOUBTFUL);
	}

	@Test
	void dataDisprovesSilence() {
		this.service.silent("a", 100);
		this.service.silent("b", 100);
		assertThat(judge(200)).isEqualTo(Reachability.DOUBTFUL);

		this.service.heard("c", 210);

		assertThat(judge(210)).isEqualTo(Reachability.REACHED);
	}

	@Test
	void silenceThatBeganBeforeDataArrivedIsNoEvidence() {
		this.service.heard("c", 150);
		this.service.silent("a", 100);
		this.service.silent("b", 100);

		assertThat(judge(200)).isEqualTo(Reachability.REACHED);
	}

	// Guards against a router that doubts its paths again and again, and never judges
	// engines that have ended, since it goes on to try them.
	@Test
	void upstreamsThatFailedWhileAnotherWasReachedAreNoEvidenceLater() {
		failTwo(100);
		judge(150);
		this.service.connected("c", 200);
		failTwo(1000);

		assertThat(judge(1500)).isEqualTo(Reachability.REACHED);
	}

	@Test
	void anUpstreamThatIsReachedAgainIsEvidenceAgain() {
		failTwo(100);
		this.service.connected("c", 200);
		this.service.connected("a", 300);
		this.service.connected("b", 310);
		failTwo(1000);

		assertThat(judge(1500)).isEqualTo(Reachability.DOUBTFUL);
	}

	@Test
	void theOnlyOtherUpstreamIsEnoughOnceTheRestHasFailedAlone() {
		failTwo(100);
		this.service.connected("c", 200);
		this.service.connectFailed("c", 1000);

		assertThat(this.service.judge(3, 0, 1500)).isEqualTo(Reachability.DOUBTFUL);
	}

	@Test
	void upstreamsThatAreGoneAreNoEvidence() {
		failTwo(100);
		this.service.retain((upstream) -> upstream.equals("a"));

		assertThat(judge(500)).isEqualTo(Reachability.REACHED);
	}

	@Property
	void whoReachesAnyUpstreamAfterEachFailureIsNeverInDoubt(@ForAll @IntRange(min = 1, max = 200) int failures,
			@ForAll boolean silent) {
		ServiceReachability reached = new ServiceReachability();
		for (int failure = 0; failure < failures; failure++) {
			long nowMs = 10L * failure;
			if (silent) {
				reached.silent("u" + failure, nowMs);
			}
			else {
				reached.connectFailed("u" + failure, nowMs);
			}
			reached.connected("good", nowMs + 5);
			assertThat(reached.judge(UPSTREAMS, 0, nowMs + 6)).isEqualTo(Reachability.REACHED);
		}
	}

	private void failTwo(long startedMs) {
		this.service.connectFailed("a", startedMs);
		this.service.connectFailed("b", startedMs + 5);
	}

	private Reachability judge(long nowMs) {
		return this.service.judge(UPSTREAMS, 0, nowMs);
	}

}
