package io.whinjunction.router;

import java.util.List;

import io.whinjunction.configuration.LayerRange;

/**
 * The status that an engine reported. Immutable.
 *
 * @param bornMs when the engine started, in milliseconds since 1970;
 * {@link Upstream#BORN_UNKNOWN} if not reported
 * @param held the layers that the engine holds, or {@code null}
 * @param loading whether an order is being carried out
 * @param orders the number of orders begun since the engine started
 * @param active the number of requests being processed
 * @param queued the number of requests in the queue
 * @param usedTokenLayers memory of requests that cannot be preempted, in tokens times
 * layers
 * @param sizeTokenLayers total memory for requests, in tokens times layers
 * @param pace the slowdown: how many times slower than usual the engine works
 * @param stalled the requests that wait for another engine of their path
 */
public record EngineReport(long bornMs, LayerRange held, boolean loading, long orders, int active, int queued,
		long usedTokenLayers, long sizeTokenLayers, double pace, List<Stalled> stalled) {

	/**
	 * A request that waits for another engine.
	 *
	 * @param requestId the request
	 * @param address the address of the engine that it waits for
	 */
	public record Stalled(String requestId, String address) {
	}

}
