package io.whinjunction.chain;

import java.util.Map;

import io.whinjunction.configuration.LayerRange;

/**
 * Performance figures of a model on engines, as published by the operators. Immutable.
 *
 * @param name the name of the model
 * @param layers the number of layers
 * @param layerMb the memory of one layer, in megabytes
 * @param kvBytesPerToken the memory of one token over all layers, in bytes
 * @param stepMs the duration of one token step of all layers on the reference kind, in
 * milliseconds
 * @param stepPerSequenceMs the time that each generating request adds to a step, in
 * milliseconds
 * @param stepPerThousandTokensMs the time that a thousand tokens of context add to a
 * step, in milliseconds
 * @param prefillTokensPerSecond prompt tokens per second on the reference kind
 * @param stepsPerPass the number of steps between two rounds of admission
 * @param loadSeconds the time to load all layers, in seconds
 * @param loadsAtOnce the number of concurrent loads that run at full speed
 * @param maxConcurrentRequests the number of requests that an engine runs concurrently
 * @param transfer the cost of transferring activations
 * @param meanPromptTokens the mean prompt, in tokens
 * @param meanAnswerTokens the mean answer, in tokens
 * @param kinds the kinds of accelerators by name
 */
public record ModelProfile(String name, int layers, double layerMb, double kvBytesPerToken, double stepMs,
		double stepPerSequenceMs, double stepPerThousandTokensMs, double prefillTokensPerSecond, int stepsPerPass,
		double loadSeconds, int loadsAtOnce, int maxConcurrentRequests, Transfer transfer, int meanPromptTokens,
		int meanAnswerTokens, Map<String, EngineKind> kinds) {

	private static final double BYTES_PER_MB = 1_000_000;

	private static final double MS_PER_S = 1000;

	public ModelProfile {
		kinds = Map.copyOf(kinds);
	}

	/**
	 * Returns whether layers are layers of this model.
	 * @param held the layers, or {@code null} for none
	 * @return {@code false} if the model ends before them
	 */
	public boolean contains(LayerRange held) {
		return held == null || held.end() <= this.layers;
	}

	/**
	 * Returns the kind of an upstream that is an engine of this model, whether it holds
	 * layers or is empty.
	 * @param name the name of its kind of accelerator, or {@code null}
	 * @param held the layers it holds, or {@code null}
	 * @return the kind; {@code null} if the upstream is no engine of this model: the
	 * model has no such kind, or not these layers
	 */
	public EngineKind engineKind(String name, LayerRange held) {
		return (name != null && contains(held)) ? this.kinds.get(name) : null;
	}

	/**
	 * Returns the mean size of a request.
	 * @return prompt and answer, in tokens
	 */
	public int meanTokens() {
		return this.meanPromptTokens + this.meanAnswerTokens;
	}

	/**
	 * Returns the KV cache capacity of an engine beside its layers.
	 * @param kind the kind of the engine
	 * @param held the number of layers it holds
	 * @return tokens that may pass through all of them at once; 0 if no memory is left
	 */
	public long kvCapacityTokens(EngineKind kind, int held) {
		if (held <= 0) {
			return 0;
		}
		double leftBytes = (kind.memoryMb() - held * this.layerMb) * BYTES_PER_MB;
		return (long) Math.max(0, leftBytes / (held * this.kvBytesPerToken / this.layers));
	}

	/**
	 * Returns the memory for requests of an engine beside its layers.
	 * @param kind the kind of the engine
	 * @param held the number of layers it holds
	 * @return the number of tokens that fit, times layers
	 */
	public long kvCapacityTokenLayers(EngineKind kind, int held) {
		return kvCapacityTokens(kind, held) * held;
	}

	/**
	 * Returns the maximum number of layers that an engine can hold with a given reserve.
	 * @param kind the kind of the engine
	 * @param reserveTokens the KV cache capacity to keep, in tokens
	 * @return the number of layers
	 */
	public int maxLayers(EngineKind kind, long reserveTokens) {
		double layerBytes = this.layerMb * BYTES_PER_MB + reserveTokens * this.kvBytesPerToken / this.layers;
		return (int) Math.min(this.layers, Math.floor(kind.memoryMb() * BYTES_PER_MB / layerBytes));
	}

	/**
	 * Returns the duration of a token step of one layer.
	 * @param kind the kind of the engine
	 * @param concurrentRequests the number of requests that generate concurrently
	 * @return milliseconds
	 */
	public double layerStepMs(EngineKind kind, double concurrentRequests) {
		double perSequenceMs = this.stepPerSequenceMs + this.stepPerThousandTokensMs * meanTokens() / 1000;
		return (this.stepMs + concurrentRequests * perSequenceMs) * kind.stepFactor() / this.layers;
	}

	/**
	 * Returns the duration of processing a prompt in some layers.
	 * @param kind the kind of the engine
	 * @param held the number of layers
	 * @param tokens the prompt tokens
	 * @return milliseconds; 0 if the prompt rate of the model is not published
	 */
	public double prefillMs(EngineKind kind, int held, double tokens) {
		if (this.prefillTokensPerSecond <= 0) {
			return 0;
		}
		return tokens * MS_PER_S / this.prefillTokensPerSecond * kind.prefillFactor() * held / this.layers;
	}

	/**
	 * Cost of transferring activations between engines. Immutable.
	 *
	 * @param bytesPerToken the activations of one token, in bytes
	 * @param pipeMbps the bandwidth that all transfers between two failure domains share,
	 * in megabits per second
	 */
	public record Transfer(double bytesPerToken, double pipeMbps) {
	}

}
