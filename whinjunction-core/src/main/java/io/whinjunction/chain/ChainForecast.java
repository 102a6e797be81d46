package io.whinjunction.chain;

import java.util.List;

/**
 * How a chain of engines works at a given rate of requests, from the published figures of
 * its engines.
 * <p>
 * Each engine works in passes: what came during one pass is served by the next. A pass
 * takes a fixed time for the engine's layers, and more the more tokens and prompts come.
 * A token waits for half a pass where the engine is always busy, and not at all where it
 * is idle.
 * <p>
 * Immutable.
 *
 * @param tokenMs the time of one token through all engines, in milliseconds; infinite
 * where some engine can't keep up
 * @param firstEventMs the time from the start of a request to its first event, in
 * milliseconds
 * @param writing requests that write at the same time
 * @param busiest the part of the time in which the busiest engine works on tokens and
 * prompts, fixed times left out; 1 and more where it can't keep up
 */
public record ChainForecast(double tokenMs, double firstEventMs, double writing, double busiest) {

	/** A hop inside a failure domain, in milliseconds: two sides of a link. */
	static final double HOP_MS = 0.2;

	/**
	 * The part of a chain's room that requests may take up before new ones are turned
	 * away often: sizes differ, and so do the moments at which they come.
	 */
	private static final double USABLE_ROOM = 0.8;

	/** Callers are promised pauses of 250 ms; events are planned for half of that. */
	private static final double LONGEST_EVENT_MS = 125;

	/**
	 * Where even idle engines take longer than that, events may take this many times what
	 * they take there: slow service is better than none.
	 */
	private static final double LONGEST_TIMES_IDLE = 2;

	/** Beyond this part of its time an engine's queue grows at each small peak. */
	private static final double MOST_BUSY = 0.85;

	private static final double MS_PER_S = 1000;

	/** Halvings of the search for the highest rate: to a thousandth and less. */
	private static final int SEARCH_STEPS = 24;

	/** No chain of today carries this many requests a second. */
	private static final double HIGHEST_RATE = 4000;

	/**
	 * Forecasts.
	 * @param profile the model
	 * @param stages the engines of the chain
	 * @param requestsPerSecond requests that come to the chain
	 * @return the forecast
	 */
	public static ChainForecast of(ModelProfile profile, List<Stage> stages, double requestsPerSecond) {
		double tokensPerMs = requestsPerSecond * profile.meanAnswerTokens() / MS_PER_S;
		double readPerMs = requestsPerSecond * profile.meanPromptTokens() / MS_PER_S;
		double tokenMs = 0;
		double readMs = 0;
		double busiest = 0;
		for (Stage stage : stages) {
			double share = (double) stage.layers() / profile.layers();
			double fixedMs = share * profile.stepMs() * stage.kind().stepFactor();
			double perTokenMs = stage.layers()
					* (profile.layerStepMs(stage.kind(), 1) - profile.layerStepMs(stage.kind(), 0));
			double promptTokenMs = profile.readMs(stage.kind(), stage.layers(), 1);
			double busy = tokensPerMs * perTokenMs + readPerMs * promptTokenMs;
			busiest = Math.max(busiest, busy);
			double passMs = (busy < 1) ? fixedMs / (1 - busy) : Double.POSITIVE_INFINITY;
			double passing = Math.min(1, busy + tokensPerMs * fixedMs);
			tokenMs += passMs * (1 + passing / 2) + perTokenMs + HOP_MS;
			readMs += profile.meanPromptTokens() * promptTokenMs / Math.max(0.01, 1 - busy);
		}
		double firstEventMs = readMs + profile.stepsPerPass() * tokenMs;
		double heldMs = readMs + profile.meanAnswerTokens() * tokenMs;
		return new ChainForecast(tokenMs, firstEventMs, requestsPerSecond * heldMs / MS_PER_S, busiest);
	}

	/**
	 * The most requests a second that a chain carries with events in time, room to spare
	 * and no engine beyond its capacity.
	 * @param profile the model
	 * @param stages the engines of the chain
	 * @return requests a second; 0 where its engines have no room
	 */
	public static double capacity(ModelProfile profile, List<Stage> stages) {
		long room = stages.stream()
			.mapToLong((stage) -> profile.kvCapacityTokens(stage.kind(), stage.layers()))
			.min()
			.orElse(0);
		double mostWriting = Math.min(USABLE_ROOM * room / Math.max(1, profile.meanTokens()),
				profile.requestsAtOnce());
		double longestMs = Math.max(LONGEST_EVENT_MS / profile.stepsPerPass(),
				LONGEST_TIMES_IDLE * of(profile, stages, 0).tokenMs);
		double low = 0;
		double high = HIGHEST_RATE;
		for (int step = 0; step < SEARCH_STEPS; step++) {
			double middle = (low + high) / 2;
			ChainForecast forecast = of(profile, stages, middle);
			boolean carried = forecast.busiest <= MOST_BUSY && forecast.writing <= mostWriting
					&& forecast.tokenMs <= longestMs;
			low = carried ? middle : low;
			high = carried ? high : middle;
		}
		return low;
	}

	/**
	 * An engine of a chain. Immutable.
	 *
	 * @param kind its kind
	 * @param layers how many layers it runs
	 */
	public record Stage(EngineKind kind, int layers) {
	}

}
