package io.whinjunction.chain;

import java.util.List;

/**
 * Expected behaviour of a chain of engines at a given request rate, from the published
 * figures of its engines.
 * <p>
 * Each engine works in passes: what arrives during one pass is served by the next. A pass
 * takes a fixed time for the engine's layers, plus time per token and per prompt. A token
 * waits for half a pass on an engine that is always busy, and not at all on an idle one.
 * <p>
 * Immutable.
 *
 * @param tokenMs the time of one token through all engines, in milliseconds; infinite if
 * an engine cannot keep up
 * @param firstEventMs the time from the start of a request to its first event, in
 * milliseconds
 * @param concurrentRequests the number of requests that generate at the same time
 * @param maxUtilization the ratio of time that the most utilized engine spends on tokens
 * and prompts, fixed times excluded; 1 or more if it cannot keep up
 */
public record ChainForecast(double tokenMs, double firstEventMs, double concurrentRequests, double maxUtilization) {

	/**
	 * Cost of a hop inside a failure domain, in milliseconds: both sides of a link.
	 */
	static final double HOP_MS = 0.2;

	/**
	 * Ratio of a chain's capacity that requests may use before new ones are often
	 * rejected: requests vary in size, and so do the moments at which they arrive.
	 */
	private static final double USABLE_CAPACITY_RATIO = 0.8;

	/**
	 * Callers are promised pauses of at most 250 ms; events are planned for half of that.
	 */
	private static final double MAX_EVENT_MS = 125;

	/**
	 * If even idle engines take longer than that, events may take this multiple of the
	 * idle time: slow service is better than none.
	 */
	private static final double MAX_IDLE_MULTIPLE = 2;

	/** Above this utilization an engine's queue grows at each small peak. */
	private static final double MAX_UTILIZATION = 0.85;

	private static final double MS_PER_S = 1000;

	/** Bisections in the search for the highest rate: to less than a thousandth. */
	private static final int SEARCH_STEPS = 24;

	/**
	 * Upper bound of the search, in requests per second; no current chain reaches it.
	 */
	private static final double MAX_RATE = 4000;

	/**
	 * Computes the forecast.
	 * @param profile the model
	 * @param stages the engines of the chain
	 * @param requestsPerSecond the rate of requests to the chain
	 * @return the forecast
	 */
	public static ChainForecast of(ModelProfile profile, List<Stage> stages, double requestsPerSecond) {
		double tokensPerMs = requestsPerSecond * profile.meanAnswerTokens() / MS_PER_S;
		double prefillPerMs = requestsPerSecond * profile.meanPromptTokens() / MS_PER_S;
		double tokenMs = 0;
		double readMs = 0;
		double maxUtilization = 0;
		for (Stage stage : stages) {
			double share = (double) stage.layers() / profile.layers();
			double fixedMs = share * profile.stepMs() * stage.kind().stepFactor();
			double perTokenMs = stage.layers()
					* (profile.layerStepMs(stage.kind(), 1) - profile.layerStepMs(stage.kind(), 0));
			double promptTokenMs = profile.readMs(stage.kind(), stage.layers(), 1);
			double utilization = tokensPerMs * perTokenMs + prefillPerMs * promptTokenMs;
			maxUtilization = Math.max(maxUtilization, utilization);
			double passMs = (utilization < 1) ? fixedMs / (1 - utilization) : Double.POSITIVE_INFINITY;
			double passing = Math.min(1, utilization + tokensPerMs * fixedMs);
			tokenMs += passMs * (1 + passing / 2) + perTokenMs + HOP_MS;
			readMs += profile.meanPromptTokens() * promptTokenMs / Math.max(0.01, 1 - utilization);
		}
		double firstEventMs = readMs + profile.stepsPerPass() * tokenMs;
		double heldMs = readMs + profile.meanAnswerTokens() * tokenMs;
		return new ChainForecast(tokenMs, firstEventMs, requestsPerSecond * heldMs / MS_PER_S, maxUtilization);
	}

	/**
	 * Returns the highest request rate that a chain sustains with events on time,
	 * capacity to spare and no engine above its maximum utilization.
	 * @param profile the model
	 * @param stages the engines of the chain
	 * @return requests per second; 0 if its engines have no free memory
	 */
	public static double capacity(ModelProfile profile, List<Stage> stages) {
		long capacityTokens = stages.stream()
			.mapToLong((stage) -> profile.kvCapacityTokens(stage.kind(), stage.layers()))
			.min()
			.orElse(0);
		double maxConcurrent = Math.min(USABLE_CAPACITY_RATIO * capacityTokens / Math.max(1, profile.meanTokens()),
				profile.maxConcurrentRequests());
		double maxTokenMs = Math.max(MAX_EVENT_MS / profile.stepsPerPass(),
				MAX_IDLE_MULTIPLE * of(profile, stages, 0).tokenMs);
		double low = 0;
		double high = MAX_RATE;
		for (int step = 0; step < SEARCH_STEPS; step++) {
			double middle = (low + high) / 2;
			ChainForecast forecast = of(profile, stages, middle);
			boolean sustained = forecast.maxUtilization <= MAX_UTILIZATION
					&& forecast.concurrentRequests <= maxConcurrent && forecast.tokenMs <= maxTokenMs;
			low = sustained ? middle : low;
			high = sustained ? high : middle;
		}
		return low;
	}

	/**
	 * An engine of a chain. Immutable.
	 *
	 * @param kind its kind
	 * @param layers the number of layers it runs
	 */
	public record Stage(EngineKind kind, int layers) {
	}

}
