package io.whinjunction.router;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.whinjunction.store.StoreVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which entries of a list apply after the store was restored from an older copy.
 */
class RestoredListFilterTests {

	private static final StoreVersion BEFORE = new StoreVersion(1, 100);

	private static final StoreVersion AFTER = new StoreVersion(2, 90);

	private final RestoredListFilter filter = new RestoredListFilter();

	@Test
	void aLeavingUpstreamStaysLeavingUntilItRegistersAgain() {
		UpstreamChanges effective = first(List.of(upstream("a", 1, false)), List.of(),
				Map.of("a", upstream("a", 1, true)));
		assertThat(effective.changed()).isEmpty();

		assertThat(later(upstream("a", 1, false)).changed()).isEmpty();

		this.filter.recordWritten(changes(List.of(upstream("a", 1, false)), List.of()));
		assertThat(later(upstream("a", 1, false)).changed()).hasSize(1);
	}

	@Test
	void aLaterIncarnationOfTheSameNameIsAccepted() {
		UpstreamChanges effective = first(List.of(upstream("a", 2, false)), List.of(),
				Map.of("a", upstream("a", 1, true)));

		assertThat(effective.changed()).containsExactly(upstream("a", 2, false));
	}

	@Test
	void anUpstreamThatHasGoneIsNotReaddedFromTheCopy() {
		UpstreamChanges effective = this.filter.first(changes(List.of(upstream("a", 1, false)), List.of()),
				(id) -> null, Set.of("a@1")::contains);

		assertThat(effective.changed()).isEmpty();
		assertThat(this.filter.forgetStaleEntries()).isTrue();
		assertThat(later(upstream("a", 1, false)).changed()).hasSize(1);
	}

	@Test
	void anUpstreamThatTheCopyLacksIsMissingUntilItIsListedAgain() {
		first(List.of(), List.of("a", "b"), Map.of());
		assertThat(this.filter.missing()).containsExactlyInAnyOrder("a", "b");

		UpstreamListing listing = new UpstreamListing(List.of(upstream("a", 1, false)), AFTER);
		UpstreamChanges effective = this.filter.later(listing, changes(List.of(), List.of("b")));
		assertThat(effective.removed()).isEmpty();
		assertThat(effective.changed()).containsExactly(upstream("a", 1, false));
		assertThat(this.filter.missing()).containsExactly("b");

		this.filter.recordWritten(changes(List.of(), List.of("b")));
		assertThat(this.filter.missing()).isEmpty();
	}

	private UpstreamChanges first(List<Upstream> changed, List<String> removed, Map<String, Upstream> known) {
		return this.filter.first(changes(changed, removed), known::get, (incarnation) -> false);
	}

	private UpstreamChanges later(Upstream listed) {
		return this.filter.later(new UpstreamListing(List.of(listed), AFTER), changes(List.of(listed), List.of()));
	}

	private static UpstreamChanges changes(List<Upstream> changed, List<String> removed) {
		return new UpstreamChanges(BEFORE, changed, removed, AFTER);
	}

	private static Upstream upstream(String id, long bornMs, boolean leaving) {
		return new Upstream(id, bornMs, "s", "10.0.0.1:80", "x", 1, null, null, leaving);
	}

}
