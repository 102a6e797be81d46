package io.whinjunction.memory;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link MemoryBudget}. */
class MemoryBudgetTests {

	private static final long LIMIT_BYTES = 1 << 20;

	private static final int LARGE_BYTES = 100_000;

	private final MemoryBudget budget = new MemoryBudget(LIMIT_BYTES, (state, bytes, used, limit) -> {
	});

	private final List<TestHolder> holders = new ArrayList<>();

	// Guards against a crowd that holds more than the limit, whatever each holder does.
	@Property(tries = 300, seed = "68")
	void whatCanBeShedNeverPassesTheLimit(
			@ForAll @Size(max = 400) List<@IntRange(min = 1, max = 60_000) Integer> sizes) {
		MemoryBudget ofMany = new MemoryBudget(LIMIT_BYTES, (state, bytes, used, limit) -> {
		});
		for (int size : sizes) {
			TestHolder holder = new TestHolder(ofMany, MemoryBudget.Holder.State.UNSENT);
			holder.share.set(MemoryShare.Use.REQUEST, size);
			assertThat(ofMany.usedBytes()).isLessThanOrEqualTo(LIMIT_BYTES + LIMIT_BYTES / 32);
		}
	}

	// Guards against shedding the newest caller, which may be the ordinary one.
	@Example
	void theLargestHoldersAreShedFirst() {
		TestHolder small = hold(MemoryBudget.Holder.State.UNSENT, 2000);
		TestHolder largest = hold(MemoryBudget.Holder.State.UNSENT, 5 * LARGE_BYTES);
		TestHolder large = hold(MemoryBudget.Holder.State.UNSENT, LARGE_BYTES);
		TestHolder newest = hold(MemoryBudget.Holder.State.UNSENT, 2 * LARGE_BYTES);

		assertThat(largest.sheds).isOne();
		assertThat(List.of(small.sheds, large.sheds, newest.sheds)).containsOnly(0);
	}

	// Guards against a refusal of a request that may have run.
	@Example
	void aRequestThatWasSentIsNeverShed() {
		List<TestHolder> sent = new ArrayList<>();
		for (int index = 0; index < 20; index++) {
			sent.add(hold(MemoryBudget.Holder.State.SENT, LARGE_BYTES));
		}

		assertThat(sent).allSatisfy((holder) -> assertThat(holder.sheds).isZero());
	}

	// Guards against requests that are refused in favour of answers that never end.
	@Example
	void partsOfAnswersAreShedBeforeSmallerRequests() {
		TestHolder request = hold(MemoryBudget.Holder.State.UNSENT, LARGE_BYTES);
		TestHolder answer = hold(MemoryBudget.Holder.State.UNPASSED, 2 * LARGE_BYTES);
		for (int index = 0; index < 6; index++) {
			hold(MemoryBudget.Holder.State.SENT, LARGE_BYTES);
		}

		assertThat(answer.sheds).isOne();
		assertThat(request.sheds).isZero();
	}

	// Guards against large requests that leave no room for small ones.
	@Example
	void onlySmallRequestsAreSentWhenMostOfTheLimitIsUsed() {
		for (int index = 0; index < 8; index++) {
			hold(MemoryBudget.Holder.State.SENT, LARGE_BYTES);
		}
		TestHolder large = hold(MemoryBudget.Holder.State.UNSENT, LARGE_BYTES);
		TestHolder small = hold(MemoryBudget.Holder.State.UNSENT, 2000);

		assertThat(this.holders.getFirst().share.admitted()).isFalse();
		assertThat(large.sheds).isOne();
		assertThat(small.sheds).isZero();
		assertThat(small.share.admitted()).isTrue();
	}

	// Guards against callers that take no answers and are only found when nothing else is
	// left to shed.
	@Example
	void callersThatTakeNoAnswersAreShedAboveTheLimit() {
		TestHolder untaken = hold(MemoryBudget.Holder.State.UNTAKEN, 2 * LARGE_BYTES);
		for (int index = 0; index < 9; index++) {
			hold(MemoryBudget.Holder.State.SENT, LARGE_BYTES);
		}

		assertThat(untaken.sheds).isOne();
	}

	@Example
	void aClosedShareGivesBackWhatItHeld() {
		TestHolder holder = hold(MemoryBudget.Holder.State.UNSENT, LARGE_BYTES);
		holder.share.add(MemoryShare.Use.ANSWERS, LARGE_BYTES);

		holder.share.close();
		holder.share.add(MemoryShare.Use.ANSWERS, LARGE_BYTES);

		assertThat(this.budget.usedBytes()).isZero();
	}

	private TestHolder hold(MemoryBudget.Holder.State state, long bytes) {
		TestHolder holder = new TestHolder(this.budget, state);
		this.holders.add(holder);
		holder.share.set(MemoryShare.Use.REQUEST, bytes);
		return holder;
	}

	private static final class TestHolder implements MemoryBudget.Holder {

		private final MemoryShare share;

		private final State state;

		private int sheds;

		TestHolder(MemoryBudget budget, State state) {
			this.state = state;
			this.share = budget.open(this);
		}

		@Override
		public State state() {
			return this.state;
		}

		@Override
		public void shed() {
			this.sheds++;
			this.share.set(MemoryShare.Use.REQUEST, 0);
		}

	}

}
