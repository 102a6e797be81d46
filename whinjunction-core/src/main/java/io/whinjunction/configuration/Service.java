package io.whinjunction.configuration;

import java.util.List;
import java.util.Set;

/**
 * Something that callers ask for. Immutable.
 */
public sealed interface Service {

	/**
	 * The name that callers and instances use.
	 * @return the name
	 */
	String name();

	/**
	 * A model whose layers are spread over upstreams.
	 *
	 * @param name its name
	 * @param layerCount how many layers a token passes
	 * @param ranges the ranges that upstreams hold, in order, without gap or overlap
	 * @param checksFencing whether its engines refuse an order with an old fencing number
	 * @param upstreamsPerRange how many upstreams the controller keeps on each range
	 * @param stepTimeoutMs after how long a silent step counts as failed
	 * @param answerDeadlineMs within how long an answer must be whole
	 */
	record Model(String name, int layerCount, List<LayerRange> ranges, boolean checksFencing, int upstreamsPerRange,
			int stepTimeoutMs, int answerDeadlineMs) implements Service {
	}

	/**
	 * A plain HTTP service.
	 *
	 * @param name its name
	 * @param repeatableMethods methods whose calls may be repeated
	 * @param callTimeoutMs after how long a silent call is given up
	 */
	record Plain(String name, Set<String> repeatableMethods, int callTimeoutMs) implements Service {
	}

}
