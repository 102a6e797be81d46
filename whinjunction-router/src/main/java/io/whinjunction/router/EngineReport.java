package io.whinjunction.router;

import java.util.List;

import io.whinjunction.configuration.LayerRange;

/**
 * What an engine says of itself, a while ago. Immutable.
 *
 * @param bornMs when it started, in milliseconds since 1970;
 * {@link Upstream#BORN_UNKNOWN} where it doesn't say
 * @param held the layers it holds, or {@code null}
 * @param loading whether an order is being carried out
 * @param orders how many orders it has begun since its start
 * @param active requests it works on
 * @param queued requests that wait there
 * @param usedTokenLayers memory of requests that can't yield, in tokens times layers
 * @param sizeTokenLayers all memory for requests, in tokens times layers
 * @param pace how many times slower than usual it works
 * @param stalled requests that wait for another engine of their path
 */
public record EngineReport(long bornMs, LayerRange held, boolean loading, long orders, int active, int queued,
		long usedTokenLayers, long sizeTokenLayers, double pace, List<Stalled> stalled) {

	/**
	 * A request that waits for another engine.
	 *
	 * @param requestId the request
	 * @param address the engine it waits for
	 */
	public record Stalled(String requestId, String address) {
	}

}
