package io.whinjunction.router;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.whinjunction.chain.Hop;
import io.whinjunction.configuration.LayerRange;

/**
 * Sends status queries and orders to engines. Calls do not block. Each callback is called
 * exactly once, on the event loop.
 */
public interface EngineControl {

	/**
	 * Queries the status of an engine.
	 * @param address the address of the engine
	 * @param limitMs the time limit for the reply, in milliseconds
	 * @param done receives the report, or empty if none arrived in time
	 */
	void queryStatus(String address, long limitMs, Consumer<Optional<EngineReport>> done);

	/**
	 * Orders an engine to hold layers.
	 * @param address the address of the engine
	 * @param order the layers to hold and the conditions of the order
	 * @param done receives the reply
	 */
	void place(String address, PlaceOrder order, Consumer<OrderReply> done);

	/**
	 * Orders the first engine of a request to replace the remaining hops of the request's
	 * path.
	 * @param address the address of the first engine
	 * @param requestId the request
	 * @param path the complete new path
	 * @param done receives the reply
	 */
	void repath(String address, String requestId, List<Hop> path, Consumer<OrderReply> done);

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
