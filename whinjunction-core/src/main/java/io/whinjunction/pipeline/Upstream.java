package io.whinjunction.pipeline;

import io.whinjunction.configuration.LayerRange;

/**
 * What this entry knows of one upstream. Immutable.
 *
 * @param id the instance
 * @param service the service it belongs to
 * @param address {@code HOST:PORT}
 * @param failureDomain where it is
 * @param range the layers it holds; {@code null} for a spare or a plain service
 * @param generation the engine generation; 0 for a plain service
 * @param tokensPerSecond its rate; 0 where it is unknown
 * @param reportedRunning steps it had when it last reported
 * @param leaving whether any source says that it goes
 */
public record Upstream(String id, String service, String address, String failureDomain, LayerRange range,
		long generation, double tokensPerSecond, int reportedRunning, boolean leaving) {

	Upstream asLeaving() {
		return new Upstream(this.id, this.service, this.address, this.failureDomain, this.range, this.generation,
				this.tokensPerSecond, this.reportedRunning, true);
	}

}
