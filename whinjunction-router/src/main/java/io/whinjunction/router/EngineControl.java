package io.whinjunction.router;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.whinjunction.chain.Hop;
import io.whinjunction.configuration.LayerRange;

/**
 * Asks engines how they are and gives them orders. Calls don't block; each reply comes
 * once, on the event loop.
 */
public interface EngineControl {

	/**
	 * Asks an engine for its state.
	 * @param address the engine
	 * @param limitMs how long the answer may take, in milliseconds
	 * @param done takes the report, or empty where none came
	 */
	void queryStatus(String address, long limitMs, Consumer<Optional<EngineReport>> done);

	/**
	 * Orders an engine to hold layers.
	 * @param address the engine
	 * @param order what to hold
	 * @param done takes the reply
	 */
	void place(String address, PlaceOrder order, Consumer<OrderReply> done);

	/**
	 * Orders the first engine of a request to replace the rest of the request's path.
	 * @param address the first engine
	 * @param requestId the request
	 * @param path the whole new path
	 * @param done takes the reply
	 */
	void repath(String address, String requestId, List<Hop> path, Consumer<OrderReply> done);

	/**
	 * An order to hold layers. Immutable.
	 *
	 * @param layers all layers to hold
	 * @param fencing the number of the lease under which it is given
	 * @param expectedOrders how many orders the engine has begun; it refuses where
	 * another one came meanwhile
	 */
	record PlaceOrder(LayerRange layers, long fencing, long expectedOrders) {
	}

}
