package io.whinjunction.bench;

import java.util.List;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.PathFinder;
import io.whinjunction.chain.ReplicaCountCache;

/**
 * The cost of the decisions on chains as failure domains grow: the first plan, the plan
 * after a loss, and a path.
 */
final class ChainSlopeBench {

	private static final int[] PER_DOMAIN = { 14, 31, 300, 522 };

	private static final int DOMAINS = 3;

	private static final int TARGET_DOMAINS = 9;

	/** The failure domains' size at the target: 4,700 engines in nine. */
	private static final int TARGET_PER_DOMAIN = 522;

	/** Keeps results alive, so that the work cannot be left out. */
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
		List<Engine> empty = ChainFleet.MIDDLING.empty(domains, perDomain);
		report.put("chain-first-plan" + size, "us",
				micros(() -> this.sink = LayerPlanner.plan(ChainFleet.MIDDLING.model(), empty)));
		List<Engine> placed = ChainFleet.MIDDLING.placed(empty);
		Engine lost = placed.stream().filter((engine) -> engine.held() != null).findFirst().orElseThrow();
		List<Engine> holed = placed.stream().filter((engine) -> engine != lost).toList();
		ReplicaCountCache counts = new ReplicaCountCache();
		report.put("chain-repair" + size, "us",
				micros(() -> this.sink = LayerPlanner.plan(ChainFleet.MIDDLING.model(), holed, counts)));
		List<PathFinder.Candidate> candidates = placed.stream()
			.filter((engine) -> engine.held() != null)
			.map((engine) -> new PathFinder.Candidate(engine,
					ChainFleet.MIDDLING.model().layerStepMs(engine.kind(), 20), 0))
			.toList();
		PathFinder.Start start = PathFinder.Start.whole("d0", (engine) -> true);
		report.put("chain-path" + size, "us",
				micros(() -> this.sink = PathFinder.find(ChainFleet.MIDDLING.model(), candidates, start)));
	}

	private double micros(Runnable work) {
		SlopeBench.runFor(work, this.runMs / 2);
		return SlopeBench.runFor(work, this.runMs);
	}

}
