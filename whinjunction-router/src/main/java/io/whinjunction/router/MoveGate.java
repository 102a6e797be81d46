package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.chain.Engine;
import io.whinjunction.chain.FleetPlan;
import io.whinjunction.chain.LayerMove;
import io.whinjunction.chain.MoveBudget;

/**
 * Decides when planned moves of layers are ordered, and records them.
 * <p>
 * Load pattern: engines that restart or are replaced leave the same gaps for a moment as
 * engines that are gone for good, and close them at less cost than a move.
 * <p>
 * Invariants: no move is ordered before its cause has persisted; a move is ordered only
 * while its engine reports the layers that the move was planned from and carries out no
 * other order; the moves of a failure domain are bounded by {@link MoveBudget}. Confined
 * to the event loop.
 */
final class MoveGate {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long a gap has to persist, in milliseconds: a few plans. */
	private static final long GAP_PERSISTS_MS = 500;

	/**
	 * How long a layer has to have a single holder, in milliseconds: longer than the
	 * engines of a fleet take to appear one after another.
	 */
	private static final long RISK_PERSISTS_MS = 4000;

	private final LongSupplier nowMs;

	private final RouterMetrics metrics;

	private final MoveBudget budget = new MoveBudget();

	/** Since when a cause has persisted, by service and cause. */
	private final Map<String, Map<String, Long>> sinceMs = new HashMap<>();

	private long ordered;

	MoveGate(LongSupplier nowMs, RouterMetrics metrics) {
		this.nowMs = nowMs;
		this.metrics = metrics;
	}

	/**
	 * Returns whether a failure domain has moves left.
	 * @param service the service of the engines
	 * @param domain the failure domain
	 * @param engines the names of its engines
	 * @return {@code false} once its moves are used up without a change of its engines
	 */
	boolean allowed(String service, String domain, Set<String> engines) {
		return this.budget.left(service + "/" + domain, engines);
	}

	/**
	 * Returns the moves whose cause has persisted.
	 * @param service the service of the engines
	 * @param plan the plan for all engines of the service
	 * @return the moves to order now
	 */
	List<LayerMove> due(String service, FleetPlan plan) {
		Set<String> causes = new HashSet<>(plan.moving());
		plan.moves().forEach((move) -> causes.add(cause(move)));
		Map<String, Long> since = this.sinceMs.computeIfAbsent(service, (ignored) -> new HashMap<>());
		since.keySet().retainAll(causes);
		List<LayerMove> due = new ArrayList<>();
		for (String cause : causes) {
			if (since.putIfAbsent(cause, this.nowMs.getAsLong()) == null) {
				logger.atInfo().log("event=move-cause service=%s cause=%s", service, cause);
			}
		}
		for (LayerMove move : plan.moves()) {
			long persistsMs = this.nowMs.getAsLong() - since.get(cause(move));
			boolean gap = move.reason() != LayerMove.Reason.SECOND_HOLDER;
			if (persistsMs >= (gap ? GAP_PERSISTS_MS : RISK_PERSISTS_MS)) {
				due.add(move);
			}
		}
		return due;
	}

	/**
	 * Begins a move if its engine is as planned.
	 * @param service the service of the engine
	 * @param engines the names of the engines in its failure domain
	 * @param move the move
	 * @param report the report of the engine, as of now
	 * @return whether to send the order
	 */
	boolean begin(String service, Set<String> engines, LayerMove move, EngineReport report) {
		Engine engine = move.placement().engine();
		if (report.loading() || !Objects.equals(report.held(), engine.held())) {
			return false;
		}
		this.budget.take(service + "/" + engine.failureDomain(), engines);
		this.ordered++;
		this.metrics.state("layer_moves", this.ordered);
		logger.atInfo()
			.log("event=move engine=%s domain=%s from=%s to=%s reason=%s loads=%d closes=%d weakestTokens=%d expectedTokens=%d",
					engine.id(), engine.failureDomain(), engine.held(), move.placement().layers(), move.reason(),
					move.loadedLayers(), move.closedLayers(), move.weakestTokensBefore(), move.weakestTokensAfter());
		return true;
	}

	private static String cause(LayerMove move) {
		return (move.reason() == LayerMove.Reason.SECOND_HOLDER) ? "single-holder"
				: move.placement().engine().failureDomain();
	}

}
