package io.whinjunction.router;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.whinjunction.store.StoreVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What holds of upstreams after the store came back from an older copy.
 */
class RestoredListFilterTests {

	private static final StoreVersion BEFORE = new StoreVersion(1, 100);

	private static final StoreVersion AFTER = new StoreVersion(2, 90);

	private final RestoredListFilter returned = new RestoredListFilter();

	@Test
	void whoeverSaidThatItLeavesStaysLeftUntilItWritesItselfAgain() {
		UpstreamChanges news = first(List.of(upstream("a", 1, false)), List.of(), Map.of("a", upstream("a", 1, true)));
		assertThat(news.changed()).isEmpty();

		assertThat(later(upstream("a", 1, false)).changed()).isEmpty();

		this.returned.written(changes(List.of(upstream("a", 1, false)), List.of()));
		assertThat(later(upstream("a", 1, false)).changed()).hasSize(1);
	}

	@Test
	void aLaterStartUnderTheSameNameServes() {
		UpstreamChanges news = first(List.of(upstream("a", 2, false)), List.of(), Map.of("a", upstream("a", 1, true)));

		assertThat(news.changed()).containsExactly(upstream("a", 2, false));
	}

	@Test
	void whoeverHasGoneIsNotBroughtBackByTheCopy() {
		UpstreamChanges news = this.returned.first(changes(List.of(upstream("a", 1, false)), List.of()), (id) -> null,
				Set.of("a@1")::contains);

		assertThat(news.changed()).isEmpty();
		assertThat(this.returned.forgetOutlived()).isTrue();
		assertThat(later(upstream("a", 1, false)).changed()).hasSize(1);
	}

	@Test
	void whoeverTheCopyLacksIsMissingUntilItIsListedAgain() {
		first(List.of(), List.of("a", "b"), Map.of());
		assertThat(this.returned.missing()).containsExactlyInAnyOrder("a", "b");

		UpstreamListing listing = new UpstreamListing(List.of(upstream("a", 1, false)), AFTER);
		UpstreamChanges news = this.returned.later(listing, changes(List.of(), List.of("b")));
		assertThat(news.removed()).isEmpty();
		assertThat(news.changed()).containsExactly(upstream("a", 1, false));
		assertThat(this.returned.missing()).containsExactly("b");

		this.returned.written(changes(List.of(), List.of("b")));
		assertThat(this.returned.missing()).isEmpty();
	}

	private UpstreamChanges first(List<Upstream> changed, List<String> removed, Map<String, Upstream> known) {
		return this.returned.first(changes(changed, removed), known::get, (incarnation) -> false);
	}

	private UpstreamChanges later(Upstream listed) {
		return this.returned.later(new UpstreamListing(List.of(listed), AFTER), changes(List.of(listed), List.of()));
	}

	private static UpstreamChanges changes(List<Upstream> changed, List<String> removed) {
		return new UpstreamChanges(BEFORE, changed, removed, AFTER);
	}

	private static Upstream upstream(String id, long bornMs, boolean leaving) {
		return new Upstream(id, bornMs, "s", "10.0.0.1:80", "x", 1, null, null, leaving);
	}

}
