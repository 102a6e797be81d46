package io.whinjunction.promises;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import io.whinjunction.once.ActionClaims;
import io.whinjunction.once.ActionClaims.ClaimResult;
import io.whinjunction.once.ActionName;
import io.whinjunction.once.StoredAnswer;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.standins.FakeObjectStore;
import io.whinjunction.standins.FakeObjectStore.Fault;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests promise 4: an action that must not be repeated runs at most once.
 */
class AtMostOnceTests {

	private static final ActionName ACTION = new ActionName("agencia", "booking-api", "friday-20h");

	private static final StoredAnswer ANSWER = new StoredAnswer(201, List.of(Map.entry("x-booking", "1")),
			new byte[] { 1, 2 });

	private final FakeObjectStore store = new FakeObjectStore();

	// A caller repeats its action through several entries at once. Between any two
	// platform calls of one entry another entry runs; writes take effect but lose their
	// replies, the platform becomes unavailable and returns, and entries crash after a
	// claim or a send.
	@Property(seed = "81", tries = 3000)
	void theActionRunsAtMostOnceUnderFailuresOfEntriesAndThePlatform(
			@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Simulation simulation = new Simulation(seed);
		for (int i = 0; i < 6; i++) {
			simulation.request();
		}
		assertThat(simulation.runs).hasValueLessThanOrEqualTo(1);
	}

	// Guards against a booking that is refused permanently although it never ran: the
	// write of the claim took effect but its reply was lost. The entry must recognize its
	// own write.
	@Test
	void aClaimWhoseReplyWasLostIsRecognizedByItsEntry() {
		this.store.fault(Fault.LOST_REPLY_ONCE);
		assertThat(claims("a").claim(ACTION, "h")).isInstanceOf(ClaimResult.Acquired.class);
		assertThat(claims("b").claim(ACTION, "h")).isInstanceOf(ClaimResult.InDoubt.class);
	}

	// The write took effect, its reply was lost and the platform became unavailable: the
	// caller receives "not-run". If it repeats the action at the same entry, that entry
	// reclaims it.
	@Test
	void anAbandonedUnsentClaimIsReclaimedByItsOwnEntryOnly() {
		ActionClaims claims = claims("a");
		this.store.fault(Fault.LOST_REPLY_THEN_OUTAGE);
		assertThat(claims.claim(ACTION, "h")).isInstanceOf(ClaimResult.StoreUnavailable.class);
		this.store.fault(Fault.NONE);
		assertThat(claims("b").claim(ACTION, "h")).isInstanceOf(ClaimResult.InDoubt.class);
		assertThat(claims.claim(ACTION, "h")).isInstanceOf(ClaimResult.Acquired.class);
		assertThat(claims.claim(ACTION, "h")).isInstanceOf(ClaimResult.InDoubt.class);
	}

	@Test
	void anAbandonedUnsentClaimIsSweptSoThatOtherEntriesCanRunTheAction() {
		ActionClaims claims = claims("a");
		this.store.fault(Fault.LOST_REPLY_THEN_OUTAGE);
		claims.claim(ACTION, "h");
		this.store.fault(Fault.NONE);
		claims.sweepAbandoned();
		assertThat(claims("b").claim(ACTION, "h")).isInstanceOf(ClaimResult.Acquired.class);
	}

	@Test
	void aRepeatReturnsTheFirstAnswer() {
		ActionClaims claims = claims("a");
		ClaimResult.Acquired acquired = (ClaimResult.Acquired) claims.claim(ACTION, "h");
		assertThat(claims.recordAnswer(acquired.claim(), ANSWER)).isTrue();
		assertThat(claims("b").claim(ACTION, "h")).isInstanceOfSatisfying(ClaimResult.Answered.class, (answered) -> {
			assertThat(answered.answer().status()).isEqualTo(201);
			assertThat(answered.answer().body()).containsExactly(1, 2);
			assertThat(answered.answer().headers()).containsExactlyElementsOf(ANSWER.headers());
		});
	}

	@Test
	void aKeyUsedWithAnotherBodyIsRefused() {
		claims("a").claim(ACTION, "h");
		assertThat(claims("b").claim(ACTION, "other")).isInstanceOf(ClaimResult.BodyMismatch.class);
	}

	@Test
	void withThePlatformDownNothingIsClaimed() {
		this.store.fault(Fault.OUTAGE);
		assertThat(claims("a").claim(ACTION, "h")).isInstanceOf(ClaimResult.StoreUnavailable.class);
	}

	@Test
	void teamsAndServicesDoNotShareKeys() {
		claims("a").claim(ACTION, "h");
		assertThat(claims("a").claim(new ActionName("other", "booking-api", "friday-20h"), "h"))
			.isInstanceOf(ClaimResult.Acquired.class);
	}

	private ActionClaims claims(String entry) {
		AtomicInteger count = new AtomicInteger();
		return new ActionClaims(this.store,
				() -> entry + count.incrementAndGet() + "-" + System.identityHashCode(count), () -> 0);
	}

	/**
	 * Several entries that receive the same action and share one platform.
	 */
	private static final class Simulation {

		private static final int MAX_DEPTH = 4;

		private final Random random;

		private final FakeObjectStore store = new FakeObjectStore();

		private final List<ActionClaims> entries = new ArrayList<>();

		private final AtomicInteger runs = new AtomicInteger();

		private int nonces;

		private int depth;

		Simulation(int seed) {
			this.random = new Random(seed);
			ObjectStore interleaved = new InterleavedStore(this.store, this::injectFaults);
			for (int i = 0; i < 3; i++) {
				this.entries.add(entry(interleaved));
			}
		}

		void request() {
			int index = this.random.nextInt(this.entries.size());
			ActionClaims claims = this.entries.get(index);
			switch (claims.claim(ACTION, "h")) {
				case ClaimResult.Acquired acquired -> send(index, claims, acquired);
				case ClaimResult.Answered ignored -> assertThat(this.runs).hasValue(1);
				default -> {
				}
			}
		}

		private void send(int index, ActionClaims claims, ClaimResult.Acquired acquired) {
			switch (this.random.nextInt(5)) {
				case 0 -> crash(index);
				case 1 -> {
					claims.release(acquired.claim());
				}
				case 2 -> {
					this.runs.incrementAndGet();
					crash(index);
				}
				default -> {
					this.runs.incrementAndGet();
					claims.recordAnswer(acquired.claim(), ANSWER);
				}
			}
		}

		private void crash(int index) {
			this.entries.set(index, entry(new InterleavedStore(this.store, this::injectFaults)));
		}

		private void injectFaults() {
			if (this.random.nextInt(3) == 0) {
				this.store.fault(Fault.values()[this.random.nextInt(Fault.values().length)]);
			}
			if (this.depth < MAX_DEPTH && this.random.nextInt(3) == 0) {
				this.depth++;
				if (this.random.nextBoolean()) {
					request();
				}
				else {
					this.entries.get(this.random.nextInt(this.entries.size())).sweepAbandoned();
				}
				this.depth--;
			}
		}

		private ActionClaims entry(ObjectStore store) {
			return new ActionClaims(store, () -> "n" + this.nonces++, () -> 0);
		}

	}

}
