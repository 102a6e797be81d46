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
 * A model engine that holds a layer range. Deterministic; the faults are switched by the
 * tests. Safe for all threads.
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
	 * An engine.
	 * @param service the model
	 * @param layerCount the model's layers
	 * @param range the layers it holds; {@code null} for a spare
	 * @param tokensPerSecond the rate it reports
	 * @param checksFencing whether it refuses orders with an old fencing number
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
	 * @return its answer, or a refusal where the engine is not in the state it names
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
	 * Forgets a stream.
	 * @param stream the stream
	 */
	public void cancel(String stream) {
		this.streams.remove(stream);
	}

	/**
	 * Takes or refuses an order. Loading is immediate here.
	 * @param order the order
	 * @return whether it was taken
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
	 * Its report, without any lag.
	 * @return the report
	 */
	public EngineReport report() {
		return new EngineReport(this.service, this.range, this.generation, this.fencing, this.running.get(),
				this.tokensPerSecond, this.leaving, false);
	}

	/**
	 * Says that it will go.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Changes its version: the caches are lost.
	 */
	public synchronized void upgrade() {
		this.generation++;
		this.streams.clear();
	}

	/**
	 * Streams that it keeps a cache for.
	 * @return their number
	 */
	public int openStreams() {
		return this.streams.size();
	}

	/**
	 * Steps run since its start.
	 * @return their number
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
