package io.whinjunction.chain;

/**
 * What it costs to use an engine whose room is partly taken.
 * <p>
 * The load it answers: many requests at once, which fill the engines of one failure
 * domain while others, or copies of its layers, have room. Load moves away gently at
 * first and strongly near the end, and beyond the end nothing new comes: requests that an
 * engine has no room for wait there until others end. Stateless.
 */
public final class Congestion {

	/**
	 * Tokens that other routers may have sent to an engine since they last said.
	 */
	private static final double UNSEEN_TOKENS = 6_000;

	/** What an engine costs that is half full or less grows to a quarter of this. */
	private static final double GENTLE_MS = 5;

	/** What is added until the room is all taken. */
	private static final double STRONG_MS = 40;

	/** Where the strong part begins. */
	private static final double STRONG_FROM = 0.7;

	private Congestion() {
	}

	/**
	 * Whether an engine takes nothing new. The size of the request that asks is left out,
	 * or large ones would be turned away long before small ones.
	 * @param usedPart the part of the room that is known to be taken
	 * @param roomTokens all of the room, in tokens
	 * @return {@code true} where all of it may be
	 */
	public static boolean full(double usedPart, long roomTokens) {
		return usedPart * roomTokens >= roomTokens - UNSEEN_TOKENS;
	}

	/**
	 * The cost.
	 * @param usedPart the part of the room that is taken, the request itself included
	 * @return milliseconds for a hop that runs all layers of the engine
	 */
	public static double costMs(double usedPart) {
		double gentle = GENTLE_MS * usedPart * usedPart;
		double over = Math.max(0, usedPart - STRONG_FROM) / (1 - STRONG_FROM);
		return gentle + STRONG_MS * over * over;
	}

}
