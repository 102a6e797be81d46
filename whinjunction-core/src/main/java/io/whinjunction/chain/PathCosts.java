package io.whinjunction.chain;

/**
 * What it costs to send a request through an engine, from what is known of its load.
 * <p>
 * The load it answers: all routers choose alone and by reports that lag, so the cheapest
 * engine would be everybody's choice until it is full. Costs rise with the room that is
 * taken, with prompts that wait to be read, and with an engine's own slowness. Stateless.
 */
public final class PathCosts {

	/**
	 * What an avoided engine costs, in milliseconds: more than any detour, so that it is
	 * only used where there is no other way.
	 */
	private static final double AVOIDED_MS = 200;

	/**
	 * What each usual time costs by which an engine is slower, in milliseconds: its
	 * passes hold up all requests at it, not just the layers of this one.
	 */
	private static final double SLOW_MS = 3;

	/**
	 * The part of the expected wait for prompts before one's own that counts as if it
	 * came at each token: callers notice a wait once, a slow path at some fifty events.
	 */
	private static final double READING_PART = 0.05;

	private PathCosts() {
	}

	/**
	 * Rates an engine for a request.
	 * @param profile the model
	 * @param engine the engine, which holds layers
	 * @param load what is known of its load
	 * @param tokens tokens that the request is expected to take up
	 * @return the engine with its costs
	 */
	public static PathFinder.Candidate rate(ModelProfile profile, Engine engine, Load load, int tokens) {
		int held = engine.heldLayers();
		double room = Math.max(1, profile.kvCapacityTokens(engine.kind(), held));
		double writing = load.usedPart() * room / Math.max(1, profile.meanTokens());
		double crowdedMs = Congestion.costMs(load.usedPart() + tokens / room);
		double penaltyMs = (load.avoided() ? AVOIDED_MS : 0) + SLOW_MS * (load.pace() - 1)
				+ READING_PART * profile.readMs(engine.kind(), held, load.unreadTokens());
		return new PathFinder.Candidate(engine,
				load.pace() * profile.layerStepMs(engine.kind(), writing) + crowdedMs / held, penaltyMs);
	}

	/**
	 * What is known of an engine's load. Immutable.
	 *
	 * @param usedPart the part of its room that requests of all routers take up; 1 and
	 * more where it is full
	 * @param unreadTokens prompt tokens of all routers that wait to be read there
	 * @param pace how many times slower than usual it works
	 * @param avoided whether it was found silent or failing a moment ago
	 */
	public record Load(double usedPart, double unreadTokens, double pace, boolean avoided) {
	}

}
