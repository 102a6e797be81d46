package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the validation of replies of the store by their era.
 */
class StoreEraTests {

	private final StoreEra era = new StoreEra();

	private int restores;

	StoreEraTests() {
		this.era.onRestore(() -> this.restores++);
	}

	@Test
	void theFirstEraIsNoRestore() {
		assertThat(reply(this.era.unboundQuery(), 7)).isEqualTo(found());

		assertThat(this.era.current()).isEqualTo(7);
		assertThat(this.restores).isZero();
	}

	@Test
	void eachLaterEraIsAnnouncedOnce() {
		reply(this.era.unboundQuery(), 1);
		reply(this.era.unboundQuery(), 2);
		reply(this.era.unboundQuery(), 2);
		this.era.eraReceived(2);
		this.era.eraReceived(4);
		reply(this.era.unboundQuery(), 4);

		assertThat(this.era.current()).isEqualTo(4);
		assertThat(this.restores).isEqualTo(2);
	}

	// A message names an era that never existed; every reply of the store would be
	// rejected as one of an earlier era from then on.
	@Test
	void repliesAreValidatedByTheErasThatTheStoreNames() {
		reply(this.era.unboundQuery(), 1);
		this.era.eraReceived(Long.MAX_VALUE);

		assertThat(reply(this.era.unboundQuery(), 1)).isEqualTo(found());
		assertThat(this.era.current()).isEqualTo(1);
	}

	// A watch would continue across a gap: the restored store has assigned the revision
	// again and answers as if nothing had happened.
	@Test
	void aReplyToAQueryBoundToAnEarlierEraIsOutdated() {
		reply(this.era.unboundQuery(), 1);

		assertThat(reply(this.era.boundQuery(1), 2)).isEqualTo(new StoreReply.Outdated<>());
	}

	// A delayed reply describes state that the store has lost since.
	@Test
	void aReplyOfAnEarlierEraIsRejected() {
		StoreEra.Query query = this.era.unboundQuery();
		reply(query, 1);
		reply(query, 2);

		assertThat(reply(query, 1)).isInstanceOf(StoreReply.Unavailable.class);
		assertThat(this.era.current()).isEqualTo(2);
		assertThat(this.restores).isEqualTo(1);
	}

	@Test
	void aReplyWithoutAnEraDoesNotChangeTheEra() {
		assertThat(reply(this.era.unboundQuery(), StoreEra.UNSPECIFIED)).isEqualTo(found());
		assertThat(this.era.known()).isFalse();

		StoreEra.Query before = this.era.unboundQuery();
		reply(this.era.unboundQuery(), 3);
		StoreEra.Query now = this.era.unboundQuery();
		assertThat(reply(now, StoreEra.UNSPECIFIED)).isEqualTo(found());
		assertThat(reply(before, StoreEra.UNSPECIFIED)).isInstanceOf(StoreReply.Unavailable.class);
		assertThat(this.era.current()).isEqualTo(3);
	}

	// Any sender that reaches the peer port could name an era before the store has named
	// one.
	@Test
	void erasFromPeersAreIgnoredUntilTheStoreHasNamedOne() {
		this.era.eraReceived(9);

		assertThat(this.era.current()).isZero();
	}

	private StoreReply<String> reply(StoreEra.Query query, long namedEra) {
		return this.era.validate(query, namedEra, found());
	}

	private static StoreReply<String> found() {
		return new StoreReply.Found<>("value");
	}

}
