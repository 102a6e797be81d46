package io.whinjunction.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.engine.EngineClient.EngineReport;
import io.whinjunction.engine.EngineClient.LoadOrder;
import io.whinjunction.engine.EngineClient.Step;
import io.whinjunction.engine.EngineClient.StepResult;

/**
 * A model engine that holds a layer range. Deterministic; tests inject its faults.
 * Thread-safe.
 */
public final class FakeEngine {

	private final String service;

	private final int layerCount;

	private final boolean checksFencing;

	private final Map<String, Stream> streams = new ConcurrentHashMap<>();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong steps = new AtomicLong();

	private volatile LayerRange range;

	private volatile long generation = 1;

	private volatile long fencing;

	private volatile boolean leaving;

	private volatile double tokensPerSecond;

	/**
	 * Creates an engine.
	 * @param service the service name of the model
	 * @param layerCount the number of the model's layers
	 * @param range the layers held; {@code null} for a spare engine
	 * @param tokensPerSecond the reported rate
	 * @param checksFencing whether to refuse orders with an outdated fencing number
	 */
	public FakeEngine(String service, int layerCount, LayerRange range, double tokensPerSecond, boolean checksFencing) {
		this.service = service;
		this.layerCount = layerCount;
		this.range = range;
		this.tokensPerSecond = tokensPerSecond;
		this.checksFencing = checksFencing;
	}

	/**
	 * Runs a step.
	 * @param step the step
	 * @return the result, or a refusal if the layer range, generation, attempt or
	 * position of the step is not the engine's current one
	 */
	public StepResult step(Step step) {
		if (!step.range().equals(this.range) || step.generation() != this.generation) {
			return new StepResult.Refused("generation is " + this.generation + " on layers " + this.range);
		}
		this.running.incrementAndGet();
		try {
			Stream stream = this.streams.compute(step.stream(),
					(id, old) -> (old == null || old.attempt < step.attempt())
							? new Stream(step.attempt(), this.layerCount) : old);
			return stream.run(step, this.layerCount);
		}
		finally {
			this.running.decrementAndGet();
			this.steps.incrementAndGet();
		}
	}

	/**
	 * Discards the cache of a stream.
	 * @param stream the stream's id
	 */
	public void cancel(String stream) {
		this.streams.remove(stream);
	}

	/**
	 * Accepts or refuses an order. Layers are loaded immediately.
	 * @param order the order
	 * @return whether the order was accepted
	 */
	public synchronized boolean order(LoadOrder order) {
		if (this.checksFencing && order.fencing() < this.fencing) {
			return false;
		}
		this.fencing = Math.max(this.fencing, order.fencing());
		if (!order.range().equals(this.range)) {
			this.range = order.range();
			this.generation++;
			this.streams.clear();
		}
		return true;
	}

	/**
	 * Returns the current report, without delay.
	 * @return the report
	 */
	public EngineReport report() {
		return new EngineReport(this.service, this.range, this.generation, this.fencing, this.running.get(),
				this.tokensPerSecond, this.leaving, false);
	}

	/**
	 * Announces that the engine is leaving.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Simulates an upgrade: raises the generation and drops all caches.
	 */
	public synchronized void upgrade() {
		this.generation++;
		this.streams.clear();
	}

	/**
	 * Returns the number of streams that have a cache.
	 * @return the number of streams
	 */
	public int openStreams() {
		return this.streams.size();
	}

	/**
	 * Returns the number of steps run since the start.
	 * @return the number of steps
	 */
	public long stepCount() {
		return this.steps.get();
	}

	/**
	 * The cache of one stream.
	 */
	private static final class Stream {

		private final int attempt;

		private final long[] caches;

		private int nextPosition;

		Stream(int attempt, int layerCount) {
			this.attempt = attempt;
			this.caches = new long[layerCount];
		}

		synchronized StepResult run(Step step, int layerCount) {
			if (step.attempt() != this.attempt) {
				return new StepResult.Refused("attempt " + step.attempt() + " is fenced by " + this.attempt);
			}
			if (step.position() != this.nextPosition) {
				return new StepResult.Refused("position is " + this.nextPosition);
			}
			List<String> outputs = new ArrayList<>();
			long activation = 0;
			for (String input : step.inputs()) {
				activation = (step.range().first() == 0) ? ReferenceModel.embed(input)
						: Long.parseUnsignedLong(input, 16);
				for (int layer = step.range().first(); layer < step.range().end(); layer++) {
					activation = ReferenceModel.layer(layer, activation, this.caches[layer]);
					this.caches[layer] = ReferenceModel.updateCache(this.caches[layer], activation);
				}
				outputs.add(Long.toHexString(activation));
			}
			this.nextPosition += step.inputs().size();
			if (step.range().end() == layerCount) {
				outputs = List.of(ReferenceModel.token(activation));
			}
			return new StepResult.Done(step.stream(), step.attempt(), step.position(), step.range(), step.generation(),
					outputs);
		}

	}

}
