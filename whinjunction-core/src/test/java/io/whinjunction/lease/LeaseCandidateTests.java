package io.whinjunction.lease;

import io.whinjunction.store.StoreVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaseCandidate} and {@link FencingNumbers}.
 */
class LeaseCandidateTests {

	private static final long TTL_MS = 1800;

	private final LeaseCandidate candidate = new LeaseCandidate("a", TTL_MS);

	@Test
	void aLeaseThatIsRenewedIsNotTakenOver() {
		assertThat(this.candidate.seen("b", 3, v(10), 0)).isEmpty();
		assertThat(this.candidate.seen("b", 3, v(11), 1000)).isEmpty();
		assertThat(this.candidate.seen("b", 3, v(11), 1000 + TTL_MS - 1)).isEmpty();
	}

	@Test
	void aLeaseThatIsNotRenewedIsTakenOverWithAHigherFencingNumber() {
		this.candidate.seen("b", 3, v(10), 0);

		assertThat(this.candidate.seen("b", 3, v(10), TTL_MS)).contains(new LeaseCandidate.Claim(11, v(10)));
	}

	@Test
	void aReleasedLeaseIsTakenOverAtOnce() {
		assertThat(this.candidate.seen("", 3, v(10), 0)).contains(new LeaseCandidate.Claim(11, v(10)));
	}

	// Guards against two routers issuing orders: a holder that was paused does not notice
	// that another process holds the lease. It must stop, by its own clock, before others
	// may take over.
	@Test
	void aHolderStopsBeforeOthersMayTakeOver() {
		this.candidate.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);

		assertThat(this.candidate.holds(1000)).isTrue();
		assertThat(this.candidate.holds(1080)).isFalse();
		assertThat(this.candidate.renewal(1080)).isEmpty();
	}

	@Test
	void aHolderRenewsItsLastVersion() {
		this.candidate.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);

		assertThat(this.candidate.renewal(400)).contains(new LeaseCandidate.Claim(4, v(11)));
	}

	// A router restarts under its old name. The lease still names it, but orders of its
	// previous incarnation may be in flight, so it must not reuse their number.
	@Test
	void aPreviousIncarnationOfTheSameNameIsNotTheHolder() {
		assertThat(this.candidate.seen("a", 4, v(10), 0)).isEmpty();
		assertThat(this.candidate.seen("a", 4, v(10), TTL_MS)).contains(new LeaseCandidate.Claim(11, v(10)));
	}

	@Test
	void aCandidateThatLostTheLeaseDoesNotHoldIt() {
		this.candidate.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);
		this.candidate.lost();

		assertThat(this.candidate.holds(1)).isFalse();
	}

	// Guards against engines that permanently refuse the orders of a new leader, or
	// accept orders of two leaders under one number: the copy from which the store was
	// restored contains neither leader.
	@Test
	void fencingNumbersOfALaterEraAreAboveAllOfThePreviousEra() {
		long highestBefore = FencingNumbers.highestUpTo(new StoreVersion(1, 1_000_000));

		assertThat(FencingNumbers.next(0, new StoreVersion(2, 0))).isGreaterThan(highestBefore);
	}

	// A write issued before the restore is executed after it, because the revision that
	// it expects has been assigned again. The lease then holds an earlier number, and by
	// counting on from it the next holder would take a number that has been issued since.
	@Test
	void anEarlierNumberPutBackByALateWriteIsNotContinued() {
		long first = FencingNumbers.next(0, new StoreVersion(2, 26));

		assertThat(FencingNumbers.next(FencingNumbers.next(0, new StoreVersion(1, 27)), new StoreVersion(2, 29)))
			.isGreaterThan(first);
	}

	// The last holder may still act and has not learned of the restore.
	@Test
	void aLeaseLostByTheStoreIsNotTakenOverBeforeItsLastHolderHasStopped() {
		this.candidate.storeRestored(10_000);

		assertThat(this.candidate.absent(2, 10_000 + TTL_MS - 1)).isEmpty();
		assertThat(this.candidate.seen("", 3, new StoreVersion(2, 5), 10_000 + TTL_MS - 1)).isEmpty();
		assertThat(this.candidate.absent(2, 10_000 + TTL_MS)).isPresent();
	}

	@Test
	void theHolderAtTheRestoreReacquiresTheLeaseAtOnceUnlessAnotherHas() {
		this.candidate.written(new LeaseCandidate.Claim(4, v(10)), v(11), 0);
		this.candidate.storeRestored(500);
		assertThat(this.candidate.holds(500)).isFalse();

		StoreVersion copied = new StoreVersion(2, 8);
		assertThat(this.candidate.seen("a", 3, copied, 600))
			.contains(new LeaseCandidate.Claim(FencingNumbers.next(0, copied), copied));
		assertThat(this.candidate.absent(2, 600)).isPresent();

		assertThat(this.candidate.seen("b", FencingNumbers.next(0, copied), new StoreVersion(2, 12), 700)).isEmpty();
		assertThat(this.candidate.absent(2, 700)).isEmpty();
	}

	private static StoreVersion v(long revision) {
		return new StoreVersion(0, revision);
	}

}
