package io.whinjunction.session;

import io.whinjunction.engine.EngineClient.Step;
import io.whinjunction.engine.EngineClient.StepResult;

/**
 * Keeps that each layer runs exactly once, in order, for every token of a stream.
 * <p>
 * The failure it is there for: an answer that comes late, twice, from another attempt,
 * from other layers or from an engine that changed its version meanwhile. Taken for the
 * expected one, it would put a skipped, repeated or foreign layer into the draft without
 * any error. Checking every name of the step is enough, since an engine echoes what it
 * ran and a step has exactly one successor.
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
	 * @param step the step; it has to begin at the layer where the last one ended
	 */
	void open(Step step) {
		if (this.open != null || step.range().first() != this.nextLayer) {
			throw new IllegalStateException("step " + step.range() + " is not next; layer " + this.nextLayer + " is");
		}
		this.open = step;
	}

	/**
	 * Takes an answer where it is the open step's own.
	 * @param done what an engine says it ran
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
	 * Gives the token up, so that a new attempt can begin at the first layer.
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
