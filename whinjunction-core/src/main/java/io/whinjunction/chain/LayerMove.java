package io.whinjunction.chain;

/**
 * An order that takes layers from an engine to hold others instead, or that adds a holder
 * to layers at risk. Immutable.
 *
 * @param placement the engine as planned, and the layers that it is to hold
 * @param reason what the move is for
 * @param loadedLayers the number of layers that the engine loads
 * @param closedLayers the number of layers that no engine of its failure domain holds
 * without it
 * @param weakestTokensBefore the room of the fleet's weakest layer now
 * @param weakestTokensAfter the same once all engines hold their target
 */
public record LayerMove(Placement placement, Reason reason, int loadedLayers, int closedLayers,
		long weakestTokensBefore, long weakestTokensAfter) {

	/** What a move is for. */
	public enum Reason {

		/** Loads layers that no engine of the failure domain holds. */
		CLOSES_GAP,

		/** Takes over layers that another engine gives up later. */
		TAKES_OVER,

		/** Gives up layers to have memory for others. */
		FREES_MEMORY,

		/** Adds a second holder to layers with one holder in the fleet. */
		SECOND_HOLDER

	}

}
