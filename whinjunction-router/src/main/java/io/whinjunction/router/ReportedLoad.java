package io.whinjunction.router;

import java.util.Map;

/**
 * What this router tells others of the memory that its requests take up at engines.
 * <p>
 * The load it answers: a router tells its status many times a second, to whoever asks and
 * to whom it asks, and would look through all engines each time. It looks once a period
 * of questions, which is a small part of how old the word is when others use it. Confined
 * to the event loop.
 */
final class ReportedLoad {

	/** Bounds a message: engines of a failure domain that a router may use. */
	private static final int MOST_ENGINES = 48;

	private final UpstreamDirectory directory;

	private Map<String, Long> kept = Map.of();

	private long keptAtMs = -PeerLink.PERIOD_MS;

	/**
	 * Nothing was told yet.
	 * @param directory the engines
	 */
	ReportedLoad(UpstreamDirectory directory) {
		this.directory = directory;
	}

	/**
	 * What is told now.
	 * @param nowMs the time
	 * @return tokens times layers, by the engine's incarnation; those of the busiest
	 * engines
	 */
	Map<String, Long> tokenLayers(long nowMs) {
		if (nowMs - this.keptAtMs >= PeerLink.PERIOD_MS) {
			this.kept = Map.copyOf(this.directory.busiest(MOST_ENGINES));
			this.keptAtMs = nowMs;
		}
		return this.kept;
	}

}
