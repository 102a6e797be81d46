package io.whinjunction.engine;

import java.util.List;

import io.whinjunction.availability.UpstreamNotice;
import io.whinjunction.configuration.LayerRange;

/**
 * Client of model engines. Calls block the calling (virtual) thread for at most the given
 * timeout. Implementations are thread-safe.
 */
public interface EngineClient {

	/**
	 * Runs one step of one stream on the engine's layers.
	 * @param address the engine, {@code HOST:PORT}
	 * @param step the step to run
	 * @param timeoutMs the timeout, in milliseconds
	 * @return the result of the step
	 */
	StepResult step(String address, Step step, long timeoutMs);

	/**
	 * Requests that an engine discard a stream. Best effort.
	 * @param address the engine
	 * @param stream the stream
	 */
	void cancel(String address, String stream);

	/**
	 * Queries the state of an engine.
	 * @param address the engine
	 * @return its report, or {@code null} if it did not answer
	 */
	EngineReport report(String address);

	/**
	 * Orders an engine to hold a layer range.
	 * @param address the engine
	 * @param order the order
	 * @return whether the engine accepted the order; its effect still has to be read back
	 */
	boolean order(String address, LoadOrder order);

	/** Receives the heads of answers, on the thread of the call. */
	@FunctionalInterface
	interface AnswerListener {

		/**
		 * Called with the head of any answer.
		 * @param address the engine, {@code HOST:PORT}
		 * @param status the status of the answer
		 * @param notice what the engine states about itself
		 */
		void answered(String address, int status, UpstreamNotice notice);

	}

	/**
	 * One step, identified completely so that an answer matches this step only.
	 *
	 * @param stream the stream
	 * @param attempt the attempt; a higher one fences lower ones
	 * @param position the position of the first token in {@code inputs}
	 * @param range the layers to run
	 * @param generation the engine generation that is expected to run them
	 * @param inputs texts for the first layer, activations for later ones
	 * @param priority the priority; steps of higher priority run first
	 */
	record Step(String stream, int attempt, int position, LayerRange range, long generation, List<String> inputs,
			int priority) {
	}

	/**
	 * The result of a step.
	 */
	sealed interface StepResult {

		/**
		 * The engine ran the step. The fields are those that the engine returned.
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
		 * No byte of the step was written, so the engine cannot have run it.
		 *
		 * @param reason the reason
		 */
		record NotSent(String reason) implements StepResult {
		}

		/**
		 * The engine refused the step. This does not prove that the step has not run: if
		 * an intermediary duplicated the step, the first copy ran and the second one was
		 * refused.
		 *
		 * @param reason the reason
		 */
		record Refused(String reason) implements StepResult {
		}

		/**
		 * The engine did not answer in time, or the connection failed.
		 *
		 * @param reason the reason
		 * @param silent whether the call timed out rather than failed
		 */
		record Failed(String reason, boolean silent) implements StepResult {
		}

	}

	/**
	 * An engine's report of its own state.
	 *
	 * @param service the model it serves
	 * @param range the layers it holds, or {@code null} if it is spare
	 * @param generation its generation; incremented whenever layers, version or adapters
	 * change
	 * @param fencing the highest fencing number it has accepted
	 * @param running the number of steps in its batch and queue at the time of the report
	 * @param tokensPerSecond its rate
	 * @param leaving whether it will stop soon
	 * @param loading whether it is loading weights
	 */
	record EngineReport(String service, LayerRange range, long generation, long fencing, int running,
			double tokensPerSecond, boolean leaving, boolean loading) {
	}

	/**
	 * An order to hold a layer range.
	 *
	 * @param service the model
	 * @param range the layers
	 * @param generation the engine generation for which the order is valid
	 * @param fencing the controller's fencing number
	 */
	record LoadOrder(String service, LayerRange range, long generation, long fencing) {
	}

}
