package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which changes of the list of upstreams a router can send to a peer.
 */
class RecentChangesTests {

	private final RecentChanges recent = new RecentChanges();

	@Test
	void changesAreAvailableFromAnyRevisionThatTheyReachBackTo() {
		add(10, 12, List.of(upstream("a", 1)), List.of());
		add(12, 15, List.of(upstream("a", 2)), List.of("b"));

		assertThat(this.recent.after(Versions.v(12)))
			.isEqualTo(new UpstreamChanges(Versions.v(12), List.of(upstream("a", 2)), List.of("b"), Versions.v(15)));
		assertThat(this.recent.after(Versions.v(10)).changed()).containsExactly(upstream("a", 2));
		assertThat(this.recent.after(Versions.v(11)).version()).isEqualTo(Versions.v(15));
	}

	@Test
	void anUpstreamThatWasAddedAndRemovedIsReportedAsRemoved() {
		add(10, 12, List.of(upstream("a", 1)), List.of());
		add(12, 13, List.of(), List.of("a"));
		add(13, 14, List.of(upstream("c", 1)), List.of());

		assertThat(this.recent.after(Versions.v(10)).removed()).containsExactly("a");
		assertThat(this.recent.after(Versions.v(10)).changed()).containsExactly(upstream("c", 1));
	}

	// A router would miss a change permanently: it requests changes from a peer that
	// started later, takes the changes since then for all of them, and continues from
	// their revision.
	@Test
	void incompleteChangesAreNotSent() {
		add(10, 12, List.of(upstream("a", 1)), List.of());

		assertThat(this.recent.after(Versions.v(9))).isEqualTo(UpstreamChanges.unknownAfter(Versions.v(9)));
		assertThat(this.recent.after(Versions.v(12))).isEqualTo(UpstreamChanges.unknownAfter(Versions.v(12)));

		add(20, 22, List.of(upstream("b", 1)), List.of());
		assertThat(this.recent.after(Versions.v(10))).isEqualTo(UpstreamChanges.unknownAfter(Versions.v(10)));
		assertThat(this.recent.after(Versions.v(20)).version()).isEqualTo(Versions.v(22));
	}

	@Test
	void changesTooLargeForADatagramAreNotSent() {
		add(10, 12, IntStream.range(0, 41).mapToObj((index) -> upstream("u" + index, 1)).toList(), List.of());

		assertThat(this.recent.after(Versions.v(10))).isEqualTo(UpstreamChanges.unknownAfter(Versions.v(10)));
	}

	@Test
	void aLaterRevisionWithoutChangesExtendsTheLastChanges() {
		add(10, 12, List.of(upstream("a", 1)), List.of());
		this.recent.unchanged(Versions.v(12), Versions.v(30));

		assertThat(this.recent.after(Versions.v(10)).version()).isEqualTo(Versions.v(30));
	}

	@Test
	void onlyTheMostRecentChangesAreKept() {
		for (int revision = 0; revision < 1000; revision++) {
			add(revision, revision + 1, List.of(upstream("a", revision)), List.of());
		}

		assertThat(this.recent.after(Versions.v(0))).isEqualTo(UpstreamChanges.unknownAfter(Versions.v(0)));
		assertThat(this.recent.after(Versions.v(990)).version()).isEqualTo(Versions.v(1000));
	}

	// A change would be applied twice, or a later one undone by one that was delayed.
	// Only changes that continue the current list apply to it.
	@Test
	void lateDuplicateOrIncompleteChangesDoNotApply() {
		UpstreamChanges changes = new UpstreamChanges(Versions.v(10), List.of(), List.of("a"), Versions.v(12));

		assertThat(changes.appliesTo(Versions.v(10))).isTrue();
		assertThat(changes.appliesTo(Versions.v(11))).isTrue();
		assertThat(changes.appliesTo(Versions.v(12))).isFalse();
		assertThat(changes.appliesTo(Versions.v(9))).isFalse();
	}

	private void add(long after, long revision, List<Upstream> changed, List<String> removed) {
		this.recent.add(new UpstreamChanges(Versions.v(after), new ArrayList<>(changed), removed, Versions.v(revision)),
				Versions.v(after));
	}

	private static Upstream upstream(String id, int slots) {
		return new Upstream(id, Upstream.BORN_UNKNOWN, "s", "10.0.0.1:80", "a", slots, null, null, false);
	}

}
