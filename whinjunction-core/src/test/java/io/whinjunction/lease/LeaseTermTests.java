package io.whinjunction.lease;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The decisions of a candidate for the lease.
 */
class LeaseTermTests {

	private static final long TTL_MS = 1800;

	private final LeaseTerm term = new LeaseTerm("a", TTL_MS);

	@Test
	void aLeaseThatChangesIsLeftToItsHolder() {
		assertThat(this.term.seen("b", 3, 10, 0)).isEmpty();
		assertThat(this.term.seen("b", 3, 11, 1000)).isEmpty();
		assertThat(this.term.seen("b", 3, 11, 1000 + TTL_MS - 1)).isEmpty();
	}

	@Test
	void aLeaseThatStandsStillIsTakenWithAHigherFencingNumber() {
		this.term.seen("b", 3, 10, 0);

		assertThat(this.term.seen("b", 3, 10, TTL_MS)).contains(new LeaseTerm.Claim(4, 10));
	}

	@Test
	void aLeaseThatWasGivenUpIsTakenAtOnce() {
		assertThat(this.term.seen("", 3, 10, 0)).contains(new LeaseTerm.Claim(4, 10));
	}

	// Two routers give orders: the holder was paused in the middle and does not know that
	// its lease is another's by now. It stops by its own clock before others may take
	// over.
	@Test
	void aHolderStopsBeforeOthersMayTakeOver() {
		this.term.written(new LeaseTerm.Claim(4, 10), 11, 0);

		assertThat(this.term.holds(1000)).isTrue();
		assertThat(this.term.holds(1080)).isFalse();
		assertThat(this.term.renewal(1080)).isEmpty();
	}

	@Test
	void aHolderRenewsItsLastVersion() {
		this.term.written(new LeaseTerm.Claim(4, 10), 11, 0);

		assertThat(this.term.renewal(400)).contains(new LeaseTerm.Claim(4, 11));
	}

	// A router starts again under its old name: the lease still names it, but its earlier
	// life's orders may be on their way, so it must not go on under their number.
	@Test
	void anEarlierLifeOfTheSameNameIsNotTheHolder() {
		assertThat(this.term.seen("a", 4, 10, 0)).isEmpty();
		assertThat(this.term.seen("a", 4, 10, TTL_MS)).contains(new LeaseTerm.Claim(5, 10));
	}

	@Test
	void whoHasLostItHoldsItNoMore() {
		this.term.written(new LeaseTerm.Claim(4, 10), 11, 0);
		this.term.lost();

		assertThat(this.term.holds(1)).isFalse();
	}

}
