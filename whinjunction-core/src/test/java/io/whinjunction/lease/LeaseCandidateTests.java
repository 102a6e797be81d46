package io.whinjunction.lease;

import io.whinjunction.store.StoreVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The decisions of a candidate for the lease.
 */
class LeaseCandidateTests {

	private static final long TTL_MS = 1800;

	private final LeaseCandidate term = new LeaseCandidate("a", TTL_MS);

	@Test
	void aLeaseThatChangesIsLeftToItsHolder() {
		assertThat(this.term.seen("b", 3, v(10), 0)).isEmpty();
		assertThat(this.term.seen("b", 3, v(11), 1000)).isEmpty();
		assertThat(this.term.seen("b", 3, v(11), 1000 + TTL_MS - 1)).isEmpty();
	}

	@Test
	void aLeaseThatStandsStillIsTakenWithAHigherFencingNumber() {
		this.term.seen("b", 3, v(10), 0);

		assertThat(this.term.seen("b", 3, v(10), TTL_MS)).contains(new LeaseCandidate.Claim(11, v(10)));
	}

	@Test
	void aLeaseThatWasGivenUpIsTakenAtOnce() {
		assertThat(this.term.seen("", 3, v(10), 0)).contains(new LeaseCandidate.Claim(11, v(10)));
	}

	// Two routers give orders: the holder was paused in the middle and does not know that
	// its lease is another's by now. It stops by its own clock before others may take
	// over.
	@Test
	void aHolderStopsBeforeOthersMayTakeOver() {
		this.term.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);

		assertThat(this.term.holds(1000)).isTrue();
		assertThat(this.term.holds(1080)).isFalse();
		assertThat(this.term.renewal(1080)).isEmpty();
	}

	@Test
	void aHolderRenewsItsLastVersion() {
		this.term.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);

		assertThat(this.term.renewal(400)).contains(new LeaseCandidate.Claim(4, v(11)));
	}

	// A router starts again under its old name: the lease still names it, but its earlier
	// life's orders may be on their way, so it must not go on under their number.
	@Test
	void anEarlierLifeOfTheSameNameIsNotTheHolder() {
		assertThat(this.term.seen("a", 4, v(10), 0)).isEmpty();
		assertThat(this.term.seen("a", 4, v(10), TTL_MS)).contains(new LeaseCandidate.Claim(11, v(10)));
	}

	@Test
	void whoHasLostItHoldsItNoMore() {
		this.term.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);
		this.term.lost();

		assertThat(this.term.holds(1)).isFalse();
	}

	// Engines refuse a new leader's orders for good, or take those of two leaders under
	// one number: the copy from which the store came back knows neither.
	@Test
	void fencingNumbersOfALaterEraAreAboveAllOfTheOneBefore() {
		long highestBefore = FencingNumbers.highestUpTo(new StoreVersion(1, 1_000_000));

		assertThat(FencingNumbers.next(0, new StoreVersion(2, 0))).isGreaterThan(highestBefore);
	}

	// A write of before the return is carried out after it, where the revision that it
	// names has been given out again: the lease says an earlier number, and the next
	// holder would take one that was given out since.
	@Test
	void aNumberThatALateWritePutBackIsNotCountedOnFrom() {
		long first = FencingNumbers.next(0, new StoreVersion(2, 26));

		assertThat(FencingNumbers.next(FencingNumbers.next(0, new StoreVersion(1, 27)), new StoreVersion(2, 29)))
			.isGreaterThan(first);
	}

	// The last holder may still act, and knows nothing of the store's return.
	@Test
	void aLeaseThatTheStoreHasLostIsNotTakenBeforeItsLastHolderHasStopped() {
		this.term.storeRestored(10_000);

		assertThat(this.term.absent(2, 10_000 + TTL_MS - 1)).isEmpty();
		assertThat(this.term.seen("", 3, new StoreVersion(2, 5), 10_000 + TTL_MS - 1)).isEmpty();
		assertThat(this.term.absent(2, 10_000 + TTL_MS)).isPresent();
	}

	@Test
	void whoHeldItWhenTheStoreCameBackTakesItAgainAtOnceUnlessAnotherHas() {
		this.term.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);
		this.term.storeRestored(500);
		assertThat(this.term.holds(500)).isFalse();

		StoreVersion copied = new StoreVersion(2, 8);
		assertThat(this.term.seen("a", 3, copied, 600))
			.contains(new LeaseCandidate.Claim(FencingNumbers.next(0, copied), copied));
		assertThat(this.term.absent(2, 600)).isPresent();

		assertThat(this.term.seen("b", FencingNumbers.next(0, copied), new StoreVersion(2, 12), 700)).isEmpty();
		assertThat(this.term.absent(2, 700)).isEmpty();
	}

	private static StoreVersion v(long revision) {
		return new StoreVersion(0, revision);
	}

}
