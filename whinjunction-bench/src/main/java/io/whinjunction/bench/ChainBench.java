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
 * The part of the benefit that callers get on emulated chains, by policy, size of the
 * failure domains and trouble.
 */
final class ChainBench {

	private static final List<Size> SIZES = List.of(new Size(3, 14, 7, 1, 0.98, 0.85),
			new Size(3, 31, 20, 1, 0.98, 0.9), new Size(1, 300, 60, 0.25, 0.9, 0.8));

	private static final String PRODUCT = "product";

	/** The load of a usual day against what the forecast says the first plan carries. */
	private static final double USUAL_LOAD = 0.55;

	private static final double HIGH_LOAD = 0.9;

	private final double lengthMs;

	ChainBench(double lengthMs) {
		this.lengthMs = lengthMs;
	}

	void run(Report report) {
		ChainFleet.ALL.forEach((fleet) -> SIZES.forEach((size) -> run(report, fleet, size)));
	}

	private void run(Report report, ChainFleet fleet, Size size) {
		String row = "chains.%s.%d.".formatted(fleet.name(), size.perDomain());
		List<Engine> empty = fleet.emptyEngines(size.domains(), size.perDomain());
		double capacity = capacity(fleet.model(), empty);
		report.put(row + "capacity", "requests/s", capacity);
		report.put(row + "flow-bound", "requests/s", ChainBound.requestsPerSecond(fleet.model(), fleet.placedEngines(empty)));
		scenarios(capacity, size).forEach((name, scenario) -> policies(fleet).forEach((policy, maker) -> {
			ChainResult result = new ChainEmulator(fleet, maker.get(), empty, scenario).run();
			report.put(row + name + "." + policy, "of the benefit", result.benefit());
			if (name.equals("calm") && policy.equals(PRODUCT)) {
				report.put(row + "event-mean", "ms", result.meanEventMs());
				report.put(row + "first-event-mean", "ms", result.meanFirstMs());
			}
		}));
		report.atLeast(row + "calm." + PRODUCT, size.leastCalm());
		report.atLeast(row + "loss." + PRODUCT, size.leastLoss());
	}

	// What the forecast says that the first plan carries.
	private static double capacity(ModelProfile model, List<Engine> empty) {
		double sum = 0;
		List<Placement> placements = LayerPlanner.plan(model, empty);
		List<ChainForecast.Stage> stages = new ArrayList<>();
		for (Placement placement : placements) {
			int layers = placement.layers().end() - placement.layers().first();
			stages.add(new ChainForecast.Stage(placement.engine().kind(), layers));
			if (placement.layers().end() == model.layers()) {
				sum += ChainForecast.capacity(model, stages);
				stages.clear();
			}
		}
		return sum;
	}

	private Map<String, ChainScenario> scenarios(double capacity, Size size) {
		int deaths = Math.max(1, size.perDomain() / 30);
		double usual = USUAL_LOAD * capacity;
		Map<String, ChainScenario> scenarios = new LinkedHashMap<>();
		scenarios.put("calm", scenario(size, usual, 1, 0, 0, 250));
		scenarios.put("high", scenario(size, HIGH_LOAD * capacity, 1, 0, 0, 250));
		scenarios.put("loss", scenario(size, usual, 1, deaths, 0, 250));
		scenarios.put("slow", scenario(size, usual, 1, 0, deaths, 250));
		scenarios.put("burst", scenario(size, usual, 1.7, 0, 0, 250));
		scenarios.put("lag", scenario(size, usual, 1.7, 0, 0, 1500));
		return scenarios;
	}

	private ChainScenario scenario(Size size, double rate, double burst, int deaths, int slowed, double lagMs) {
		return new ChainScenario(size.domains(), size.routers(), rate, burst, deaths, slowed, lagMs,
				size.lengthPart() * this.lengthMs, 1);
	}

	private static Map<String, Supplier<ChainPolicy>> policies(ChainFleet fleet) {
		Map<String, Supplier<ChainPolicy>> policies = new LinkedHashMap<>();
		policies.put("one-replica", () -> new ChainPolicy.OneReplica(fleet.model()));
		policies.put("shortest-step", () -> new ChainPolicy.ShortestStep(fleet.model()));
		policies.put(PRODUCT, () -> new ChainPolicy.Product(fleet.model()));
		return policies;
	}

	/**
	 * A fleet. Immutable.
	 *
	 * @param domains failure domains
	 * @param perDomain engines in each
	 * @param routers routers before them
	 * @param lengthPart how much shorter its runs are, since a second has more requests
	 * @param leastCalm the least benefit of a calm run, a little under what was measured
	 * @param leastLoss the least benefit of a run with deaths
	 */
	private record Size(int domains, int perDomain, int routers, double lengthPart, double leastCalm,
			double leastLoss) {
	}

}
