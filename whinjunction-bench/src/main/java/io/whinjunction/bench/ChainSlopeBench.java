package io.whinjunction.bench;

import java.util.List;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.PathFinder;
import io.whinjunction.chain.ReplicaCountCache;

/**
 * Measures the cost of the decisions on chains as failure domains grow: the first plan,
 * the plan after a loss, and the choice of a path.
 */
final class ChainSlopeBench {

	private static final int[] PER_DOMAIN = { 14, 31, 300, 522 };

	private static final int DOMAINS = 3;

	private static final int TARGET_DOMAINS = 9;

	/** Size of a failure domain at the target size: 4,700 engines in nine domains. */
	private static final int TARGET_PER_DOMAIN = 522;

	/** Keeps results reachable, so that the compiler cannot eliminate the work. */
	private volatile Object sink;

	private final long runMs;

	ChainSlopeBench(long runMs) {
		this.runMs = runMs;
	}

	void run(Report report) {
		for (int perDomain : PER_DOMAIN) {
			measure(report, DOMAINS, perDomain);
		}
		measure(report, TARGET_DOMAINS, TARGET_PER_DOMAIN);
	}

	private void measure(Report report, int domains, int perDomain) {
		String size = "." + domains + "x" + perDomain;
		List<Engine> empty = ChainFleet.MIDDLING.emptyEngines(domains, perDomain);
		report.put("chain-first-plan" + size, "us",
				micros(() -> this.sink = LayerPlanner.plan(ChainFleet.MIDDLING.model(), empty)));
		List<Engine> placed = ChainFleet.MIDDLING.placedEngines(empty);
		Engine lost = placed.stream().filter((engine) -> engine.held() != null).findFirst().orElseThrow();
		List<Engine> remaining = placed.stream().filter((engine) -> engine != lost).toList();
		ReplicaCountCache counts = new ReplicaCountCache();
		report.put("chain-repair" + size, "us",
				micros(() -> this.sink = LayerPlanner.plan(ChainFleet.MIDDLING.model(), remaining, counts)));
		List<PathFinder.Candidate> candidates = placed.stream()
			.filter((engine) -> engine.held() != null)
			.map((engine) -> new PathFinder.Candidate(engine,
					ChainFleet.MIDDLING.model().layerStepMs(engine.kind(), 20), 0))
			.toList();
		PathFinder.Start start = PathFinder.Start.full("d0", (engine) -> true);
		report.put("chain-path" + size, "us",
				micros(() -> this.sink = PathFinder.find(ChainFleet.MIDDLING.model(), candidates, start)));
	}

	private double micros(Runnable work) {
		SlopeBench.meanMicros(work, this.runMs / 2);
		return SlopeBench.meanMicros(work, this.runMs);
	}

}
