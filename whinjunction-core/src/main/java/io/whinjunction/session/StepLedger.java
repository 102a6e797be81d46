package io.whinjunction.session;

import io.whinjunction.engine.EngineClient.Step;
import io.whinjunction.engine.EngineClient.StepResult;

/**
 * Ensures that each layer runs exactly once, in order, for every token of a stream.
 * <p>
 * Guards against answers that arrive late or twice, or that belong to another attempt, to
 * other layers or to an engine whose generation has changed. Accepted as the expected
 * answer, each would silently put a skipped, repeated or foreign layer into the draft.
 * Comparing all identifying fields of the step is sufficient, since an engine echoes what
 * it ran and a step has exactly one successor.
 * <p>
 * Invariant: at most one step is open; it is accepted once, and only by its own answer.
 * Confined to one thread.
 */
final class StepLedger {

	private Step open;

	private int nextLayer;

	private final int layerCount;

	StepLedger(int layerCount) {
		this.layerCount = layerCount;
	}

	/**
	 * Opens the next step.
	 * @param step the step; it must begin at the layer where the last one ended
	 */
	void open(Step step) {
		if (this.open != null || step.range().first() != this.nextLayer) {
			throw new IllegalStateException(
					"cannot open step " + step.range() + ": expected layer " + this.nextLayer + " and no open step");
		}
		this.open = step;
	}

	/**
	 * Accepts an answer if it belongs to the open step.
	 * @param done what an engine reports to have run
	 * @return whether it was accepted
	 */
	boolean accept(StepResult.Done done) {
		Step step = this.open;
		if (step == null || !matches(step, done)) {
			return false;
		}
		this.open = null;
		this.nextLayer = step.range().end() % this.layerCount;
		return true;
	}

	/**
	 * Abandons the current token, so that a new attempt can begin at the first layer.
	 */
	void abandon() {
		this.open = null;
		this.nextLayer = 0;
	}

	private boolean matches(Step step, StepResult.Done done) {
		boolean named = step.stream().equals(done.stream()) && step.attempt() == done.attempt()
				&& step.position() == done.position() && step.range().equals(done.range())
				&& step.generation() == done.generation();
		boolean last = step.range().end() == this.layerCount;
		return named && done.outputs().size() == (last ? 1 : step.inputs().size());
	}

}
