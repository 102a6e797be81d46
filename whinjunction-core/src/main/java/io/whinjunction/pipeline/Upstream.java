package io.whinjunction.pipeline;

import io.whinjunction.configuration.LayerRange;

/**
 * Last known state of one upstream at this entry. Immutable.
 *
 * @param id the instance
 * @param service the service it belongs to
 * @param address {@code HOST:PORT}
 * @param failureDomain its failure domain
 * @param range the layers it holds; {@code null} for a spare or a plain service
 * @param generation the engine generation; 0 for a plain service
 * @param tokensPerSecond its rate; 0 if unknown
 * @param reportedRunning the number of running steps in its last report
 * @param leaving whether any source reports it as leaving
 */
public record Upstream(String id, String service, String address, String failureDomain, LayerRange range,
		long generation, double tokensPerSecond, int reportedRunning, boolean leaving) {

	Upstream asLeaving() {
		return new Upstream(this.id, this.service, this.address, this.failureDomain, this.range, this.generation,
				this.tokensPerSecond, this.reportedRunning, true);
	}

}
