package io.whinjunction.configuration;

import java.util.List;
import java.util.Set;

/**
 * A service that callers can request. Immutable.
 */
public sealed interface Service {

	/**
	 * Returns the name that callers and instances use.
	 * @return the name
	 */
	String name();

	/**
	 * A model whose layers are distributed over upstreams.
	 *
	 * @param name its name
	 * @param layerCount the number of layers
	 * @param ranges the layer ranges that upstreams hold, in order, without gap or
	 * overlap
	 * @param checksFencing whether its engines refuse an order with an old fencing number
	 * @param upstreamsPerRange how many upstreams the controller maintains for each range
	 * @param stepTimeoutMs the timeout of a step, in milliseconds
	 * @param answerDeadlineMs the time within which an answer must be complete, in
	 * milliseconds
	 */
	record Model(String name, int layerCount, List<LayerRange> ranges, boolean checksFencing, int upstreamsPerRange,
			int stepTimeoutMs, int answerDeadlineMs) implements Service {
	}

	/**
	 * A plain HTTP service.
	 *
	 * @param name its name
	 * @param repeatableMethods the HTTP methods whose calls may be repeated
	 * @param callTimeoutMs the timeout of a call, in milliseconds
	 */
	record Plain(String name, Set<String> repeatableMethods, int callTimeoutMs) implements Service {
	}

}
