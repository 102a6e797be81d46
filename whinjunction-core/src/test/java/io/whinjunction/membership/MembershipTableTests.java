package io.whinjunction.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MembershipTable}.
 */
class MembershipTableTests {

	private static final long SUSPICION_MS = 3000;

	private static final int MAX_CHANGES = 16;

	@Test
	void aSilentMemberIsSuspectedThenDead() {
		MembershipTable table = table("a");
		table.merge(List.of(member("b", 1, Member.Status.ALIVE)), 0);
		table.suspect("b", 0);
		assertThat(table.alive()).hasSize(2);
		table.tick(SUSPICION_MS + 1);
		assertThat(table.alive()).extracting(Member::id).containsExactly("a");
	}

	// One link is broken: a considers b dead and reports that to c. Without a refutation,
	// b would lose its shares everywhere although it serves requests.
	@Test
	void aMemberRefutesAReportOfItsDeath() {
		MembershipTable b = table("b");
		b.merge(List.of(member("b", 1, Member.Status.DEAD)), 0);
		MembershipTable c = table("c");
		c.merge(List.of(member("b", 1, Member.Status.DEAD)), 0);
		c.merge(b.changes(MAX_CHANGES), 1);
		assertThat(c.alive()).extracting(Member::id).contains("b");
	}

	@Test
	void anOlderIncarnationDoesNotReplaceANewerOne() {
		MembershipTable table = table("a");
		table.merge(List.of(member("b", 5, Member.Status.ALIVE)), 0);
		table.merge(List.of(member("b", 4, Member.Status.DEAD)), 0);
		assertThat(table.alive()).hasSize(2);
	}

	@Test
	void membersThatLeftDoNotCountForTheMajorityButTheDeadDo() {
		MembershipTable table = table("a");
		table.merge(List.of(member("b", 1, Member.Status.LEAVING), member("c", 1, Member.Status.LEAVING)), 0);
		assertThat(table.majorityAlive()).isTrue();
		table.merge(List.of(member("d", 1, Member.Status.DEAD)), 0);
		assertThat(table.majorityAlive()).isFalse();
	}

	@Property(seed = "31", tries = 20)
	void allMembersLearnOfEachOtherAndOfADeathWithBoundedMessages(@ForAll @IntRange(min = 5, max = 60) int size) {
		Random random = new Random(size);
		List<MembershipTable> tables = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			MembershipTable table = table("m" + i);
			table.merge(List.of(member("m0", 1, Member.Status.ALIVE)), 0);
			tables.add(table);
		}
		rounds(tables, random, 0, 60, -1);
		assertThat(tables).allSatisfy((table) -> assertThat(table.alive()).hasSize(size));
		rounds(tables, random, 60, 90, size - 1);
		assertThat(tables.subList(0, size - 1)).allSatisfy((table) -> assertThat(table.alive()).hasSize(size - 1));
	}

	private static void rounds(List<MembershipTable> tables, Random random, int from, int to, int dead) {
		for (int round = from; round < to; round++) {
			long nowMs = round * 500L;
			for (int i = 0; i < tables.size(); i++) {
				if (i != dead) {
					exchange(tables, tables.get(i), random, nowMs, dead);
				}
			}
		}
	}

	private static void exchange(List<MembershipTable> tables, MembershipTable from, Random random, long nowMs,
			int dead) {
		from.tick(nowMs);
		Member target = from.probeTarget(random);
		if (target == null) {
			return;
		}
		int index = Integer.parseInt(target.id().substring(1));
		if (index == dead) {
			from.suspect(target.id(), nowMs);
			return;
		}
		MembershipTable to = tables.get(index);
		List<Member> changes = from.changes(MAX_CHANGES);
		assertThat(changes).hasSizeLessThanOrEqualTo(MAX_CHANGES);
		to.recordContact(from.self(), nowMs);
		to.merge(changes, nowMs);
		from.recordContact(to.self(), nowMs);
		from.merge(to.changes(MAX_CHANGES), nowMs);
	}

	private static MembershipTable table(String id) {
		return new MembershipTable(member(id, 1, Member.Status.ALIVE), SUSPICION_MS);
	}

	private static Member member(String id, long incarnation, Member.Status status) {
		return new Member(id, "127.0.0.1:1", "poa-a", incarnation, status);
	}

}
