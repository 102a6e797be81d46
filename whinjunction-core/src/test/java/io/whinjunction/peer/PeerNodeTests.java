package io.whinjunction.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.limit.TeamLimits;
import io.whinjunction.membership.Member;
import io.whinjunction.membership.MembershipTable;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.protocol.generated.Digest;
import io.whinjunction.protocol.generated.MemberRecord;
import io.whinjunction.protocol.generated.MemberStatus;
import io.whinjunction.time.Ticker;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatNoException;

/**
 * Tests for {@link PeerNode}.
 */
class PeerNodeTests {

	private final UpstreamTable upstreams = new UpstreamTable();

	private final MembershipTable members = new MembershipTable(
			new Member("a", "127.0.0.1:1", "poa-a", 1, Member.Status.ALIVE), 3000);

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final PeerNode node = new PeerNode(new PeerNode.NodeState(this.members, this.configuration,
			new Freshness(8000), this.upstreams, new TeamLimits()), new PeerTransport(null, 100), Ticker.system(),
			new Random(1));

	// The platform is unavailable and this entry has not polled the engine yet, but a
	// peer has received that it leaves. From then on it must get no new work.
	@Test
	void anUpstreamReportedAsLeavingByAPeerGetsNoNewWork() throws TException {
		this.upstreams.replace(List.of(new Upstream("b-1", "booking", "h:1", "poa-a", null, 0, 0, 0, false)));
		this.node.exchange(digest(List.of("b-1")));
		assertThat(this.upstreams.holding("booking", null)).isEmpty();
	}

	@Test
	void aDigestPassesOnMembersAndLeavingUpstreamsWithinItsBounds() throws TException {
		for (int i = 0; i < 200; i++) {
			this.upstreams.markLeaving("u" + i);
			this.members.merge(List.of(new Member("m" + i, "h:1", "d", 1, Member.Status.ALIVE)), 0);
		}
		Digest answer = this.node.exchange(digest(List.of()));
		Set<String> sent = new HashSet<>(answer.getLeavingUpstreams());
		for (int i = 0; i < 50; i++) {
			sent.addAll(this.node.exchange(digest(List.of())).getLeavingUpstreams());
		}
		assertThat(sent).hasSize(200);
		assertThat(answer.getLeavingUpstreamsSize()).isEqualTo(64);
		assertThat(answer.getChangesSize()).isEqualTo(16);
		assertThat(answer.getConfirmationAgeMs()).isEqualTo(-1);
	}

	// Regression: when the last entry of a fleet left, no entry remained to own a team's
	// limit, and the loop that renews loans failed without a pause and filled the log.
	@Test
	void anEntryThatLeavesAloneRenewsNoLoans() {
		this.configuration.offer(new Manifest(1, Json.MAPPER.readTree("""
				{"places": {"p": {"region": "r", "failure-domains": ["d"]}},
				"teams": {"t": {"key-sha256": [], "services": [], "places": ["p"]}}}"""), "n"));
		this.members.leave(1);
		assertThatNoException().isThrownBy(this.node::renewLoans);
	}

	private static Digest digest(List<String> leaving) {
		return new Digest(new MemberRecord("p", "127.0.0.1:2", "poa-b", 1, MemberStatus.ALIVE), 0, -1, List.of(),
				leaving);
	}

}
