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

	private static final long KEPT_S = 3600;

	private final FakeObjectStore store = new FakeObjectStore();

	private final AtomicLong epochS = new AtomicLong(1000);

	private final ClaimSweeper sweeper = new ClaimSweeper(this.store, KEPT_S, this.epochS::get);

	@Test
	void onlyClaimsOlderThanTheirTimeAreRemoved() {
		ActionName old = new ActionName("t", "s", "old");
		ActionName young = new ActionName("t", "s", "young");
		ActionClaims claims = new ActionClaims(this.store, () -> "n", this.epochS::get);
		claims.claim(old, "h");
		this.epochS.addAndGet(KEPT_S);
		claims.claim(young, "h");
		assertThat(this.sweeper.sweep()).isZero();
		this.epochS.incrementAndGet();
		assertThat(this.sweeper.sweep()).isEqualTo(1);
		assertThat(this.store.read(old.objectKey())).isInstanceOf(Read.Absent.class);
		assertThat(this.store.read(young.objectKey())).isInstanceOf(Read.Found.class);
	}

	// A claim that cannot be read may guard an action: it stays.
	@Test
	void anUnreadableClaimStays() {
		this.store.write(ActionName.PREFIX + "t/s/x", "{", 0);
		this.epochS.set(Long.MAX_VALUE / 2);
		assertThat(this.sweeper.sweep()).isZero();
	}

}
