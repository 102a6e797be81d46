package io.whinjunction.session;

import java.util.List;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.engine.EngineClient.Step;
import io.whinjunction.engine.EngineClient.StepResult.Done;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link StepLedger}.
 */
class StepLedgerTests {

	private static final LayerRange LOWER = new LayerRange(0, 4);

	private static final LayerRange UPPER = new LayerRange(4, 8);

	private final StepLedger ledger = new StepLedger(8);

	@Test
	void theAnswerOfTheOpenStepIsAcceptedOnce() {
		Step step = step(1, 0, LOWER, 1);
		this.ledger.open(step);
		assertThat(this.ledger.accept(answer(step))).isTrue();
		assertThat(this.ledger.accept(answer(step))).isFalse();
	}

	@Test
	void aSkippedLayerRangeCannotBeOpened() {
		assertThatIllegalStateException().isThrownBy(() -> this.ledger.open(step(1, 0, UPPER, 1)))
			.withMessageContaining("layer 0");
	}

	@Test
	void aRepeatedLayerRangeCannotBeOpened() {
		Step step = step(1, 0, LOWER, 1);
		this.ledger.open(step);
		this.ledger.accept(answer(step));
		assertThatIllegalStateException().isThrownBy(() -> this.ledger.open(step));
	}

	@Test
	void anAnswerWithoutAllActivationsIsNotAccepted() {
		this.ledger.open(new Step("s", 1, 0, LOWER, 1, List.of("a", "b"), 1));
		assertThat(this.ledger.accept(new Done("s", 1, 0, LOWER, 1, List.of("a")))).isFalse();
	}

	@Property(seed = "11")
	void onlyAnAnswerThatMatchesInEveryFieldIsAccepted(@ForAll @IntRange(min = 0, max = 2) int attempt,
			@ForAll @IntRange(min = 0, max = 2) int position, @ForAll @IntRange(min = 0, max = 2) int generation,
			@ForAll boolean upper, @ForAll boolean otherStream) {
		StepLedger fresh = new StepLedger(8);
		fresh.open(step(1, 1, LOWER, 1));
		boolean matches = attempt == 1 && position == 1 && generation == 1 && !upper && !otherStream;
		Done done = new Done(otherStream ? "t" : "s", attempt, position, upper ? UPPER : LOWER, generation,
				List.of("x"));
		assertThat(fresh.accept(done)).isEqualTo(matches);
	}

	@Property(seed = "12")
	void layersAreAcceptedInOrderDespiteOutdatedAnswersInBetween(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 3) Integer> noise) {
		StepLedger fresh = new StepLedger(8);
		int position = 0;
		Done old = null;
		for (int kind : noise) {
			for (LayerRange range : List.of(LOWER, UPPER)) {
				Step step = step(1, position, range, 1);
				fresh.open(step);
				if (old != null && kind > 0) {
					assertThat(fresh.accept(old)).isFalse();
				}
				assertThat(fresh.accept(answer(step))).isTrue();
				old = answer(step);
			}
			position++;
		}
	}

	private static Step step(int attempt, int position, LayerRange range, long generation) {
		return new Step("s", attempt, position, range, generation, List.of("x"), 1);
	}

	private static Done answer(Step step) {
		return new Done(step.stream(), step.attempt(), step.position(), step.range(), step.generation(), List.of("x"));
	}

}
