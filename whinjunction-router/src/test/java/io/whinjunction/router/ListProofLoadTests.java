package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays how a fleet proves its list of upstreams: who looks at the store, how often,
 * and how old the list gets at the routers that are only told.
 */
class ListProofLoadTests {

	private static final int ROUTERS = 95;

	private static final long DRAIN_MS = 4000;

	private static final long TICK_MS = 10;

	/** How long one wait at the store is open, in milliseconds. */
	private static final long WAIT_MS = 5000;

	private static final long SETTLED_MS = 10_000;

	private static final long END_MS = 40_000;

	/** Looks of the whole fleet, a second. */
	private static final double MOST_LOOKS = 12;

	private final Random random = new Random(7);

	private final List<Member> fleet = new ArrayList<>();

	private int looks;

	private long oldestMs;

	@Test
	void aFewLooksASecondProveTheListToAWholeFleet() {
		play((member) -> true);

		assertThat(this.looks * 1000.0 / (END_MS - SETTLED_MS)).isLessThan(MOST_LOOKS);
		assertThat(this.oldestMs).isLessThan(DRAIN_MS / 2 + DRAIN_MS / 10);
	}

	// Those that wait at the store are cut off from it and go on saying that they wait:
	// their calls are lost, and the others must neither go without a proof nor all look.
	@Test
	void aFleetWhoseWaitingRoutersAreCutOffIsProvedByOthers() {
		play((member) -> member.index >= 4);

		assertThat(this.looks * 1000.0 / (END_MS - SETTLED_MS)).isLessThan(MOST_LOOKS);
		assertThat(this.oldestMs).isLessThan(DRAIN_MS / 2 + DRAIN_MS / 10);
	}

	private void play(Predicate<Member> reaches) {
		for (int index = 0; index < ROUTERS; index++) {
			this.fleet.add(new Member(index, this.random.nextInt((int) PeerLink.PERIOD_MS)));
		}
		for (long nowMs = 0; nowMs < END_MS; nowMs += TICK_MS) {
			for (Member member : this.fleet) {
				member.tick(nowMs, reaches.test(member));
			}
		}
	}

	/** One router of the fleet. */
	private final class Member {

		private final int index;

		private final ListWatchRota rota = new ListWatchRota(DRAIN_MS, ListProofLoadTests.this.random);

		private boolean waits;

		private long waitEndsMs;

		private long provedAtMs;

		private long nextMs;

		private long askNextMs;

		private Member(int index, long askNextMs) {
			this.index = index;
			this.waits = index < 4;
			this.askNextMs = askNextMs;
		}

		private void tick(long nowMs, boolean reachesStore) {
			hearOthers(nowMs);
			if (this.waits && reachesStore && nowMs >= this.waitEndsMs) {
				waitOrLeave(nowMs);
			}
			if (nowMs >= this.nextMs) {
				step(nowMs, reachesStore);
			}
			if (nowMs > SETTLED_MS) {
				ListProofLoadTests.this.oldestMs = Math.max(ListProofLoadTests.this.oldestMs, nowMs - this.provedAtMs);
			}
		}

		private void hearOthers(long nowMs) {
			if (nowMs < this.askNextMs) {
				return;
			}
			this.askNextMs += PeerLink.PERIOD_MS;
			for (int asked = 0; asked < PeerLink.FANOUT; asked++) {
				Member other = ListProofLoadTests.this.fleet.get(ListProofLoadTests.this.random.nextInt(ROUTERS));
				this.provedAtMs = Math.max(this.provedAtMs, other.provedAtMs);
			}
		}

		private void step(long nowMs, boolean reachesStore) {
			long pauseMs = this.rota.pauseMs(nowMs - this.provedAtMs, this.waits);
			if (pauseMs == 0) {
				ListProofLoadTests.this.looks++;
				pauseMs = look(nowMs, reachesStore);
			}
			this.nextMs = nowMs + pauseMs;
		}

		private long look(long nowMs, boolean reachesStore) {
			if (!reachesStore) {
				return WatchRetryDelay.ms(ROUTERS, DRAIN_MS);
			}
			this.provedAtMs = nowMs;
			if (!this.waits) {
				waitOrLeave(nowMs);
			}
			return this.rota.pauseMs(0, this.waits);
		}

		private void waitOrLeave(long nowMs) {
			long others = ListProofLoadTests.this.fleet.stream()
				.filter((member) -> member != this && member.waits)
				.count();
			this.waits = this.rota.goesOn(others);
			this.waitEndsMs = nowMs + WAIT_MS;
		}

	}

}
