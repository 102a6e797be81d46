package io.whinjunction.router;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.whinjunction.availability.UpstreamNotice;
import io.whinjunction.chain.Hop;
import io.whinjunction.configuration.LayerRange;

/**
 * Sends status queries and orders to engines. Calls do not block. Each callback is called
 * exactly once, on the event loop.
 */
public interface EngineControl {

	/**
	 * Sets who receives the head of each answer of an engine, before the callback of the
	 * call.
	 * @param listener the listener
	 */
	void onAnswer(AnswerListener listener);

	/**
	 * Queries the status of an engine.
	 * @param engine the engine
	 * @param limitMs the time limit for the reply, in milliseconds
	 * @param done receives the report, or empty if none arrived in time
	 */
	void queryStatus(Upstream engine, long limitMs, Consumer<Optional<EngineReport>> done);

	/**
	 * Orders an engine to hold layers.
	 * @param engine the engine
	 * @param order the layers to hold and the conditions of the order
	 * @param done receives the reply
	 */
	void place(Upstream engine, PlaceOrder order, Consumer<OrderReply> done);

	/**
	 * Orders the first engine of a request to replace the remaining hops of the request's
	 * path.
	 * @param engine the first engine
	 * @param requestId the request
	 * @param path the complete new path
	 * @param done receives the reply
	 */
	void repath(Upstream engine, String requestId, List<Hop> path, Consumer<OrderReply> done);

	/** Receives the heads of answers, on the event loop. */
	@FunctionalInterface
	interface AnswerListener {

		/**
		 * Called with the head of any answer.
		 * @param engine the engine that was called
		 * @param status the status of the answer
		 * @param notice what the engine states about itself
		 */
		void answered(Upstream engine, int status, UpstreamNotice notice);

	}

	/**
	 * An order to hold layers. Immutable.
	 *
	 * @param layers all layers that the engine is to hold
	 * @param fencing the fencing number of the lease under which the order is issued
	 * @param expectedOrders the number of orders that the engine has begun so far; the
	 * engine refuses the order if another one arrived in the meantime
	 */
	record PlaceOrder(LayerRange layers, long fencing, long expectedOrders) {
	}

}
