package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.whinjunction.chain.ChainForecast;
import io.whinjunction.chain.Engine;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.Placement;

/**
 * Measures the ratio of the possible benefit that callers get on emulated chains, by
 * policy, size of the failure domains and scenario.
 */
final class ChainBench {

	private static final List<Size> SIZES = List.of(new Size(3, 14, 7, 1, 0.98, 0.85),
			new Size(3, 31, 20, 1, 0.98, 0.9), new Size(1, 300, 60, 0.25, 0.9, 0.8));

	private static final String PRODUCT = "product";

	/** Load of a usual day, as a ratio of the forecast capacity of the first plan. */
	private static final double USUAL_LOAD_RATIO = 0.55;

	private static final double HIGH_LOAD_RATIO = 0.9;

	private final double durationMs;

	ChainBench(double durationMs) {
		this.durationMs = durationMs;
	}

	void run(Report report) {
		ChainFleet.ALL.forEach((fleet) -> SIZES.forEach((size) -> run(report, fleet, size)));
	}

	private void run(Report report, ChainFleet fleet, Size size) {
		String prefix = "chains.%s.%d.".formatted(fleet.name(), size.perDomain());
		List<Engine> empty = fleet.emptyEngines(size.domains(), size.perDomain());
		double capacity = capacity(fleet.model(), empty);
		report.put(prefix + "capacity", "requests/s", capacity);
		report.put(prefix + "flow-bound", "requests/s",
				ChainBound.requestsPerSecond(fleet.model(), fleet.placedEngines(empty)));
		scenarios(capacity, size).forEach((name, scenario) -> policies(fleet).forEach((policy, factory) -> {
			ChainResult result = new ChainEmulator(fleet, factory.get(), empty, scenario).run();
			report.put(prefix + name + "." + policy, "of the benefit", result.benefit());
			if (name.equals("calm") && policy.equals(PRODUCT)) {
				report.put(prefix + "event-mean", "ms", result.meanEventMs());
				report.put(prefix + "first-event-mean", "ms", result.meanFirstMs());
			}
		}));
		report.atLeast(prefix + "calm." + PRODUCT, size.minCalmBenefit());
		report.atLeast(prefix + "loss." + PRODUCT, size.minLossBenefit());
	}

	// Returns the forecast capacity of the first plan.
	private static double capacity(ModelProfile model, List<Engine> empty) {
		double capacity = 0;
		List<Placement> placements = LayerPlanner.plan(model, empty);
		List<ChainForecast.Stage> stages = new ArrayList<>();
		for (Placement placement : placements) {
			int layers = placement.layers().end() - placement.layers().first();
			stages.add(new ChainForecast.Stage(placement.engine().kind(), layers));
			if (placement.layers().end() == model.layers()) {
				capacity += ChainForecast.capacity(model, stages);
				stages.clear();
			}
		}
		return capacity;
	}

	private Map<String, ChainScenario> scenarios(double capacity, Size size) {
		int crashes = Math.max(1, size.perDomain() / 30);
		double usualRate = USUAL_LOAD_RATIO * capacity;
		Map<String, ChainScenario> scenarios = new LinkedHashMap<>();
		scenarios.put("calm", scenario(size, usualRate, 1, 0, 0, 250));
		scenarios.put("high", scenario(size, HIGH_LOAD_RATIO * capacity, 1, 0, 0, 250));
		scenarios.put("loss", scenario(size, usualRate, 1, crashes, 0, 250));
		scenarios.put("slow", scenario(size, usualRate, 1, 0, crashes, 250));
		scenarios.put("burst", scenario(size, usualRate, 1.7, 0, 0, 250));
		scenarios.put("lag", scenario(size, usualRate, 1.7, 0, 0, 1500));
		return scenarios;
	}

	private ChainScenario scenario(Size size, double rate, double burstFactor, int crashes, int slowedEngines,
			double maxReportAgeMs) {
		return new ChainScenario(size.domains(), size.routers(), rate, burstFactor, crashes, slowedEngines,
				maxReportAgeMs, size.durationRatio() * this.durationMs, 1);
	}

	private static Map<String, Supplier<ChainPolicy>> policies(ChainFleet fleet) {
		Map<String, Supplier<ChainPolicy>> policies = new LinkedHashMap<>();
		policies.put("one-replica", () -> new ChainPolicy.OneReplica(fleet.model()));
		policies.put("shortest-step", () -> new ChainPolicy.ShortestStep(fleet.model()));
		policies.put(PRODUCT, () -> new ChainPolicy.Product(fleet.model()));
		return policies;
	}

	/**
	 * Size of a fleet, with the bounds on its results. Immutable.
	 *
	 * @param domains the number of failure domains
	 * @param perDomain the number of engines in each
	 * @param routers the number of routers
	 * @param durationRatio the ratio of the usual duration that its runs take; lower for
	 * larger fleets, which serve more requests per second
	 * @param minCalmBenefit the lower bound on the benefit of a calm run, slightly below
	 * the measured value
	 * @param minLossBenefit the lower bound on the benefit of a run with crashes
	 */
	private record Size(int domains, int perDomain, int routers, double durationRatio, double minCalmBenefit,
			double minLossBenefit) {
	}

}
