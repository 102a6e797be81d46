package io.whinjunction.router;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What an answer of the store is worth by the era that it is of.
 */
class StoreEraTests {

	private final StoreEra era = new StoreEra();

	private int returns;

	StoreEraTests() {
		this.era.onRestore(() -> this.returns++);
	}

	@Test
	void theFirstEraThatIsHeardIsNoReturn() {
		assertThat(answer(this.era.unboundQuery(), 7)).isEqualTo(found());

		assertThat(this.era.current()).isEqualTo(7);
		assertThat(this.returns).isZero();
	}

	@Test
	void eachLaterEraIsToldOnce() {
		answer(this.era.unboundQuery(), 1);
		answer(this.era.unboundQuery(), 2);
		answer(this.era.unboundQuery(), 2);
		this.era.eraReceived(2);
		this.era.eraReceived(4);
		answer(this.era.unboundQuery(), 4);

		assertThat(this.era.current()).isEqualTo(4);
		assertThat(this.returns).isEqualTo(2);
	}

	// A message names an era that never was, and every answer of the store would count as
	// one of an earlier era from then on.
	@Test
	void answersAreJudgedByWhatTheStoreSaysItself() {
		answer(this.era.unboundQuery(), 1);
		this.era.eraReceived(Long.MAX_VALUE);

		assertThat(answer(this.era.unboundQuery(), 1)).isEqualTo(found());
		assertThat(this.era.current()).isEqualTo(1);
	}

	// A watch goes on over a gap: the store has given the revision out again, and answers
	// as if nothing had happened.
	@Test
	void anAnswerToAQuestionThatNamesARevisionOfAnEarlierEraIsOutdated() {
		answer(this.era.unboundQuery(), 1);

		assertThat(answer(this.era.boundQuery(1), 2)).isEqualTo(new StoreReply.Outdated<>());
	}

	// An answer that was held up on its way tells of what the store has lost since.
	@Test
	void anAnswerOfAnEarlierEraIsPassedOver() {
		StoreEra.Query question = this.era.unboundQuery();
		answer(question, 1);
		answer(question, 2);

		assertThat(answer(question, 1)).isInstanceOf(StoreReply.Unavailable.class);
		assertThat(this.era.current()).isEqualTo(2);
		assertThat(this.returns).isEqualTo(1);
	}

	@Test
	void anAnswerThatSaysNoEraChangesNothing() {
		assertThat(answer(this.era.unboundQuery(), StoreEra.UNSPECIFIED)).isEqualTo(found());
		assertThat(this.era.known()).isFalse();

		StoreEra.Query before = this.era.unboundQuery();
		answer(this.era.unboundQuery(), 3);
		StoreEra.Query now = this.era.unboundQuery();
		assertThat(answer(now, StoreEra.UNSPECIFIED)).isEqualTo(found());
		assertThat(answer(before, StoreEra.UNSPECIFIED)).isInstanceOf(StoreReply.Unavailable.class);
		assertThat(this.era.current()).isEqualTo(3);
	}

	// Whoever reaches the routers' port could name an era before the store has said one.
	@Test
	void otherRoutersAreHeardOnlyOnceTheStoreHasSaidAnEra() {
		this.era.eraReceived(9);

		assertThat(this.era.current()).isZero();
	}

	private StoreReply<String> answer(StoreEra.Query question, long saidEra) {
		return this.era.validate(question, saidEra, found());
	}

	private static StoreReply<String> found() {
		return new StoreReply.Found<>("value");
	}

}
