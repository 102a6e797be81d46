package io.whinjunction.engine;

import java.util.List;

import io.whinjunction.configuration.LayerRange;

/**
 * What the router asks of a model engine. Calls block the calling (virtual) thread for at
 * most the given time. Implementations are safe for all threads.
 */
public interface EngineClient {

	/**
	 * Runs one step of one stream on the engine's layers.
	 * @param address the engine, {@code HOST:PORT}
	 * @param step what to run
	 * @param timeoutMs after how long the engine counts as silent
	 * @return what is known of the step
	 */
	StepResult step(String address, Step step, long timeoutMs);

	/**
	 * Tells an engine to forget a stream. Best effort.
	 * @param address the engine
	 * @param stream the stream
	 */
	void cancel(String address, String stream);

	/**
	 * Asks an engine for its state.
	 * @param address the engine
	 * @return its report, or {@code null} where it did not answer
	 */
	EngineReport report(String address);

	/**
	 * Orders an engine to hold a layer range.
	 * @param address the engine
	 * @param order the order
	 * @return whether the engine took it; it still has to be read back
	 */
	boolean order(String address, LoadOrder order);

	/**
	 * One step, fully named so that an answer can be matched to it and to nothing else.
	 *
	 * @param stream the stream
	 * @param attempt the attempt; a higher one fences lower ones
	 * @param position the position of the first token in {@code inputs}
	 * @param range the layers to run
	 * @param generation the engine generation expected to run them
	 * @param inputs texts for the first layer, activations for later ones
	 * @param priority higher runs first
	 */
	record Step(String stream, int attempt, int position, LayerRange range, long generation, List<String> inputs,
			int priority) {
	}

	/**
	 * What is known of a step.
	 */
	sealed interface StepResult {

		/**
		 * The engine ran the step; the fields are those it echoed.
		 *
		 * @param stream the stream
		 * @param attempt the attempt
		 * @param position the position of the first token
		 * @param range the layers that ran
		 * @param generation the generation that ran them
		 * @param outputs activations, or the next token after the last layer
		 */
		record Done(String stream, int attempt, int position, LayerRange range, long generation,
				List<String> outputs) implements StepResult {
		}

		/**
		 * No byte of the step was written: the engine cannot have run it.
		 *
		 * @param reason why
		 */
		record NotSent(String reason) implements StepResult {
		}

		/**
		 * The engine said that it won't run the step. This is no proof that it has not
		 * run it: a step that something on the way doubled ran first and is refused then.
		 *
		 * @param reason why
		 */
		record Refused(String reason) implements StepResult {
		}

		/**
		 * The engine did not answer in time or the connection broke.
		 *
		 * @param reason why
		 * @param silent whether it ran into the timeout rather than an error
		 */
		record Failed(String reason, boolean silent) implements StepResult {
		}

	}

	/**
	 * An engine's own word on itself.
	 *
	 * @param service the model it serves
	 * @param range the layers it holds, or {@code null} where it is spare
	 * @param generation goes up whenever layers, version or adapters change
	 * @param fencing the highest fencing number it has taken
	 * @param running steps in its batch and queue when the report was made
	 * @param tokensPerSecond its rate
	 * @param leaving whether it will go soon
	 * @param loading whether it is reading weights
	 */
	record EngineReport(String service, LayerRange range, long generation, long fencing, int running,
			double tokensPerSecond, boolean leaving, boolean loading) {
	}

	/**
	 * An order to hold a layer range.
	 *
	 * @param service the model
	 * @param range the layers
	 * @param generation the generation that the engine must be at for the order to count
	 * @param fencing the controller's fencing number
	 */
	record LoadOrder(String service, LayerRange range, long generation, long fencing) {
	}

}
