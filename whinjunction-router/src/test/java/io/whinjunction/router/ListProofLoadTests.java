package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates how a fleet proves its list of upstreams: which routers poll the store, how
 * often, and how old the list gets at the routers that only receive updates from peers.
 */
class ListProofLoadTests {

	private static final int ROUTERS = 95;

	private static final long DRAIN_MS = 4000;

	private static final long TICK_MS = 10;

	/** Duration of a watch at the store, in milliseconds. */
	private static final long WATCH_MS = 5000;

	private static final long SETTLED_MS = 10_000;

	private static final long END_MS = 40_000;

	/** Upper bound of the polls of the whole fleet per second. */
	private static final double MAX_POLLS_PER_SECOND = 12;

	private final Random random = new Random(7);

	private final List<Member> fleet = new ArrayList<>();

	private int polls;

	private long maxAgeMs;

	@Test
	void aFewPollsPerSecondProveTheListToTheWholeFleet() {
		run((member) -> true);

		assertThat(this.polls * 1000.0 / (END_MS - SETTLED_MS)).isLessThan(MAX_POLLS_PER_SECOND);
		assertThat(this.maxAgeMs).isLessThan(DRAIN_MS / 2 + DRAIN_MS / 10);
	}

	// Guards against routers that are cut off from the store while they still report that
	// they watch it: their calls are lost, and the other routers must neither stay
	// without a proof nor all poll the store.
	@Test
	void otherRoutersProveTheListWhenAllWatchersAreCutOff() {
		run((member) -> member.index >= 4);

		assertThat(this.polls * 1000.0 / (END_MS - SETTLED_MS)).isLessThan(MAX_POLLS_PER_SECOND);
		assertThat(this.maxAgeMs).isLessThan(DRAIN_MS / 2 + DRAIN_MS / 10);
	}

	private void run(Predicate<Member> reachesStore) {
		for (int index = 0; index < ROUTERS; index++) {
			this.fleet.add(new Member(index, this.random.nextInt((int) PeerLink.PERIOD_MS)));
		}
		for (long nowMs = 0; nowMs < END_MS; nowMs += TICK_MS) {
			for (Member member : this.fleet) {
				member.tick(nowMs, reachesStore.test(member));
			}
		}
	}

	/** One router of the fleet. */
	private final class Member {

		private final int index;

		private final ListWatchRotation rotation = new ListWatchRotation(DRAIN_MS, ListProofLoadTests.this.random);

		private boolean watches;

		private long watchEndsMs;

		private long provedAtMs;

		private long nextPollMs;

		private long nextQueryMs;

		private Member(int index, long nextQueryMs) {
			this.index = index;
			this.watches = index < 4;
			this.nextQueryMs = nextQueryMs;
		}

		private void tick(long nowMs, boolean reachesStore) {
			queryPeers(nowMs);
			if (this.watches && reachesStore && nowMs >= this.watchEndsMs) {
				watchOrStop(nowMs);
			}
			if (nowMs >= this.nextPollMs) {
				step(nowMs, reachesStore);
			}
			if (nowMs > SETTLED_MS) {
				ListProofLoadTests.this.maxAgeMs = Math.max(ListProofLoadTests.this.maxAgeMs, nowMs - this.provedAtMs);
			}
		}

		private void queryPeers(long nowMs) {
			if (nowMs < this.nextQueryMs) {
				return;
			}
			this.nextQueryMs += PeerLink.PERIOD_MS;
			for (int query = 0; query < PeerLink.FANOUT; query++) {
				Member other = ListProofLoadTests.this.fleet.get(ListProofLoadTests.this.random.nextInt(ROUTERS));
				this.provedAtMs = Math.max(this.provedAtMs, other.provedAtMs);
			}
		}

		private void step(long nowMs, boolean reachesStore) {
			long delayMs = this.rotation.pollDelayMs(nowMs - this.provedAtMs, this.watches);
			if (delayMs == 0) {
				ListProofLoadTests.this.polls++;
				delayMs = poll(nowMs, reachesStore);
			}
			this.nextPollMs = nowMs + delayMs;
		}

		private long poll(long nowMs, boolean reachesStore) {
			if (!reachesStore) {
				return WatchRetryDelay.ms(ROUTERS, DRAIN_MS);
			}
			this.provedAtMs = nowMs;
			if (!this.watches) {
				watchOrStop(nowMs);
			}
			return this.rotation.pollDelayMs(0, this.watches);
		}

		private void watchOrStop(long nowMs) {
			long others = ListProofLoadTests.this.fleet.stream()
				.filter((member) -> member != this && member.watches)
				.count();
			this.watches = this.rotation.shouldWatch(others);
			this.watchEndsMs = nowMs + WATCH_MS;
		}

	}

}
