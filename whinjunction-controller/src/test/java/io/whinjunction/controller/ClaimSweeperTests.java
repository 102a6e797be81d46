package io.whinjunction.controller;

import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.once.ActionClaims;
import io.whinjunction.once.ActionName;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.standins.FakeObjectStore;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClaimSweeper}.
 */
class ClaimSweeperTests {

	private static final long RETENTION_S = 3600;

	private final FakeObjectStore store = new FakeObjectStore();

	private final AtomicLong epochS = new AtomicLong(1000);

	private final ClaimSweeper sweeper = new ClaimSweeper(this.store, RETENTION_S, this.epochS::get);

	@Test
	void onlyClaimsOlderThanTheRetentionPeriodAreRemoved() {
		ActionName expired = new ActionName("t", "s", "old");
		ActionName recent = new ActionName("t", "s", "young");
		ActionClaims claims = new ActionClaims(this.store, () -> "n", this.epochS::get);
		claims.claim(expired, "h");
		this.epochS.addAndGet(RETENTION_S);
		claims.claim(recent, "h");
		assertThat(this.sweeper.sweep()).isZero();
		this.epochS.incrementAndGet();
		assertThat(this.sweeper.sweep()).isEqualTo(1);
		assertThat(this.store.read(expired.objectKey())).isInstanceOf(Read.Absent.class);
		assertThat(this.store.read(recent.objectKey())).isInstanceOf(Read.Found.class);
	}

	// An unreadable claim may still guard an action, so it must not be removed.
	@Test
	void anUnreadableClaimIsKept() {
		this.store.write(ActionName.PREFIX + "t/s/x", "{", 0);
		this.epochS.set(Long.MAX_VALUE / 2);
		assertThat(this.sweeper.sweep()).isZero();
	}

}
