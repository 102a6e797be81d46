package io.whinjunction.chain;

import java.util.List;
import java.util.Set;

/**
 * The next orders for all engines of a model. Immutable.
 *
 * @param repairs the placements that load layers and take none away
 * @param moves the moves, the most urgent first; each engine is in at most one of both
 * lists
 * @param moving the failure domains that are divided anew, also while no move can begin
 */
public record FleetPlan(List<Placement> repairs, List<LayerMove> moves, Set<String> moving) {
}
