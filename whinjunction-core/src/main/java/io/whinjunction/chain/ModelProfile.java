package io.whinjunction.chain;

import java.util.Map;

/**
 * How a model runs on engines, as the operators publish it. Immutable.
 *
 * @param name the model's name
 * @param layers how many layers it has
 * @param layerMb memory of one layer, in megabytes
 * @param kvBytesPerToken memory of one token over all layers, in bytes
 * @param stepMs one token step of all layers on the reference kind, in milliseconds
 * @param stepPerSequenceMs what each request that is writing adds to a step, in
 * milliseconds
 * @param stepPerThousandTokensMs what a thousand tokens of context add to a step, in
 * milliseconds
 * @param readTokensPerSecond prompt tokens that the reference kind reads a second
 * @param stepsPerPass steps that run between two rounds of admission
 * @param loadSeconds how long all layers take to load, in seconds
 * @param loadsAtOnce loads that run at full speed at the same time
 * @param requestsAtOnce requests that an engine runs at the same time
 * @param transfer what moving activations costs
 * @param meanPromptTokens the mean prompt, in tokens
 * @param meanAnswerTokens the mean answer, in tokens
 * @param kinds the kinds of accelerators by name
 */
public record ModelProfile(String name, int layers, double layerMb, double kvBytesPerToken, double stepMs,
		double stepPerSequenceMs, double stepPerThousandTokensMs, double readTokensPerSecond, int stepsPerPass,
		double loadSeconds, int loadsAtOnce, int requestsAtOnce, Transfer transfer, int meanPromptTokens,
		int meanAnswerTokens, Map<String, EngineKind> kinds) {

	private static final double BYTES_PER_MB = 1_000_000;

	private static final double MS_PER_S = 1000;

	public ModelProfile {
		kinds = Map.copyOf(kinds);
	}

	/**
	 * The mean size of a request.
	 * @return prompt and answer, in tokens
	 */
	public int meanTokens() {
		return this.meanPromptTokens + this.meanAnswerTokens;
	}

	/**
	 * Tokens that fit beside the layers of an engine.
	 * @param kind the engine's kind
	 * @param held how many layers it holds
	 * @return tokens that may pass through all of them at once; 0 where nothing is left
	 */
	public long kvCapacityTokens(EngineKind kind, int held) {
		if (held <= 0) {
			return 0;
		}
		double leftBytes = (kind.memoryMb() - held * this.layerMb) * BYTES_PER_MB;
		return (long) Math.max(0, leftBytes / (held * this.kvBytesPerToken / this.layers));
	}

	/**
	 * Memory for requests beside the layers of an engine.
	 * @param kind the engine's kind
	 * @param held how many layers it holds
	 * @return tokens times layers that fit
	 */
	public long kvCapacityTokenLayers(EngineKind kind, int held) {
		return kvCapacityTokens(kind, held) * held;
	}

	/**
	 * The most layers that an engine can hold while it keeps room for requests.
	 * @param kind the engine's kind
	 * @param reserveTokens the room to keep, in tokens
	 * @return how many layers
	 */
	public int mostLayers(EngineKind kind, long reserveTokens) {
		double layerBytes = this.layerMb * BYTES_PER_MB + reserveTokens * this.kvBytesPerToken / this.layers;
		return (int) Math.min(this.layers, Math.floor(kind.memoryMb() * BYTES_PER_MB / layerBytes));
	}

	/**
	 * A token step of one layer.
	 * @param kind the engine's kind
	 * @param writing requests that write at once
	 * @return milliseconds
	 */
	public double layerStepMs(EngineKind kind, double writing) {
		double perSequenceMs = this.stepPerSequenceMs + this.stepPerThousandTokensMs * meanTokens() / 1000;
		return (this.stepMs + writing * perSequenceMs) * kind.stepFactor() / this.layers;
	}

	/**
	 * Reading a prompt through some layers.
	 * @param kind the engine's kind
	 * @param held how many layers
	 * @param tokens prompt tokens
	 * @return milliseconds; 0 where the model's reading rate isn't published
	 */
	public double readMs(EngineKind kind, int held, double tokens) {
		if (this.readTokensPerSecond <= 0) {
			return 0;
		}
		return tokens * MS_PER_S / this.readTokensPerSecond * kind.readFactor() * held / this.layers;
	}

	/**
	 * What moving activations between engines costs. Immutable.
	 *
	 * @param bytesPerToken activations of one token, in bytes
	 * @param pipeMbps the pipe that all transfers between two failure domains share, in
	 * megabits a second
	 */
	public record Transfer(double bytesPerToken, double pipeMbps) {
	}

}
