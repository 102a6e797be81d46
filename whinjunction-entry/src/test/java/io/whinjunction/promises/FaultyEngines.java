package io.whinjunction.promises;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.whinjunction.engine.EngineClient;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.standins.FakeEngine;

/**
 * Engines that at random lose, delay, duplicate or swap answers, or answer from another
 * version. Confined to one thread.
 */
final class FaultyEngines implements EngineClient {

	private final Map<String, FakeEngine> engines = new HashMap<>();

	private final Map<String, Boolean> dead = new HashMap<>();

	private final List<StepResult.Done> earlier = new ArrayList<>();

	private final VirtualTicker ticker;

	private final Random random;

	private final int faultPercent;

	private final Set<String> unresponsiveOnce = new HashSet<>();

	private boolean duplicating;

	private long answerAfterMs = 1;

	private int stepsRun;

	FaultyEngines(VirtualTicker ticker, Random random, int faultPercent) {
		this.ticker = ticker;
		this.random = random;
		this.faultPercent = faultPercent;
	}

	void add(Upstream upstream, int layerCount) {
		this.engines.put(upstream.address(),
				new FakeEngine(upstream.service(), layerCount, upstream.range(), 100, true));
	}

	void duplicateSteps() {
		this.duplicating = true;
	}

	void eachUnresponsiveOnce() {
		this.unresponsiveOnce.addAll(this.engines.keySet());
	}

	void answerAfterMs(long durationMs) {
		this.answerAfterMs = durationMs;
	}

	int stepsRun() {
		return this.stepsRun;
	}

	@Override
	public StepResult step(String address, Step step, long timeoutMs) {
		if (step.position() > 0 && this.unresponsiveOnce.remove(address)) {
			this.ticker.advance(timeoutMs);
			return new StepResult.Failed("silent", true);
		}
		if (this.answerAfterMs > timeoutMs) {
			run(address, step);
			this.ticker.advance(timeoutMs);
			return new StepResult.Failed("silent", true);
		}
		this.ticker.advance(this.answerAfterMs);
		if (this.dead.containsKey(address)) {
			return new StepResult.NotSent("connection refused");
		}
		if (this.duplicating) {
			run(address, step);
			return run(address, step);
		}
		if (this.random.nextInt(100) >= this.faultPercent) {
			return run(address, step);
		}
		return switch (this.random.nextInt(6)) {
			case 0 -> {
				// The engine is killed before the step runs.
				this.dead.put(address, true);
				yield new StepResult.Failed("reset", false);
			}
			case 1 -> {
				// The step runs, then the engine is killed: the answer is lost.
				run(address, step);
				this.dead.put(address, true);
				yield new StepResult.Failed("reset", false);
			}
			case 2 -> {
				// The step runs, and its answer arrives after the timeout.
				if (run(address, step) instanceof StepResult.Done done) {
					this.earlier.add(done);
				}
				this.ticker.advance(timeoutMs);
				yield new StepResult.Failed("silent", true);
			}
			case 3 -> {
				// The engine is replaced by another version between two steps.
				this.engines.get(address).upgrade();
				yield run(address, step);
			}
			case 4 -> {
				// An answer to another step arrives first.
				yield this.earlier.isEmpty() ? run(address, step)
						: this.earlier.get(this.random.nextInt(this.earlier.size()));
			}
			default -> {
				// The network duplicates the step: the engine receives it twice.
				run(address, step);
				yield run(address, step);
			}
		};
	}

	@Override
	public void cancel(String address, String stream) {
		// Called on another thread after the stream; no test depends on it.
	}

	@Override
	public EngineReport report(String address) {
		return this.engines.get(address).report();
	}

	@Override
	public boolean order(String address, LoadOrder order) {
		return this.engines.get(address).order(order);
	}

	private StepResult run(String address, Step step) {
		StepResult result = this.engines.get(address).step(step);
		if (result instanceof StepResult.Done done) {
			this.stepsRun++;
			this.earlier.add(done);
		}
		return result;
	}

}
