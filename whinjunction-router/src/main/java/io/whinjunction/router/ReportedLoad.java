package io.whinjunction.router;

import java.util.Map;

/**
 * Provides the memory that this router's requests take up at engines, as reported to
 * peers.
 * <p>
 * Load pattern: a router sends its status many times a second, in replies and in its own
 * messages, and would scan all engines for each of them. The scan runs once per exchange
 * period, which is a small part of the age of a status update when peers use it. Confined
 * to the event loop.
 */
final class ReportedLoad {

	/**
	 * Bounds the size of a message: the engines of a failure domain that a router may
	 * use.
	 */
	private static final int MAX_ENGINES = 48;

	private final UpstreamDirectory directory;

	private Map<String, Long> cached = Map.of();

	private long cachedAtMs = -PeerLink.PERIOD_MS;

	/**
	 * Creates a load without a cached value.
	 * @param directory the engines
	 */
	ReportedLoad(UpstreamDirectory directory) {
		this.directory = directory;
	}

	/**
	 * Returns the load to report.
	 * @param nowMs the current time
	 * @return tokens times layers, by the incarnation of the engine; only the busiest
	 * engines are included
	 */
	Map<String, Long> tokenLayers(long nowMs) {
		if (nowMs - this.cachedAtMs >= PeerLink.PERIOD_MS) {
			this.cached = Map.copyOf(this.directory.busiest(MAX_ENGINES));
			this.cachedAtMs = nowMs;
		}
		return this.cached;
	}

}
