package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

import io.whinjunction.outcome.Outcome;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.session.DraftResult;
import io.whinjunction.session.TokenSink;

/**
 * Measures the time from the fault of a stage to the callers' next tokens, on the 40
 * engines of {@link BenchFleet}.
 */
final class RecoveryBench {

	private static final int STREAMS = 64;

	private static final int TOKENS = 120;

	private static final long DEADLINE_MS = 120_000;

	private static final long FAULT_AFTER_MS = 1500;

	/** Step timeout that BenchFleet sets: the maximum time to detect a fault. */
	private static final double STEP_TIMEOUT_MS = 1000;

	void run(Report report) {
		measure(report, "dies", (server) -> server.crash());
		measure(report, "freezes", (server) -> server.freeze(true));
		measure(report, "slows-tenfold", (server) -> server.slowDown(10));
		report.atMost("recovery.dies.longest-gap", 2 * STEP_TIMEOUT_MS);
		report.atMost("recovery.freezes.longest-gap", 2 * STEP_TIMEOUT_MS);
		for (String fault : List.of("dies", "freezes", "slows-tenfold")) {
			report.atMost("recovery." + fault + ".drafts-lost", 0);
		}
	}

	private static void measure(Report report, String fault, Consumer<BenchEngines.Server> inject) {
		try (BenchFleet fleet = new BenchFleet(Policies::ours, 500, 4);
				ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			List<GapRecorder> recorders = new ArrayList<>();
			List<Future<DraftResult>> drafts = new ArrayList<>();
			for (int i = 0; i < STREAMS; i++) {
				GapRecorder sink = new GapRecorder();
				int index = i;
				recorders.add(sink);
				drafts.add(executor.submit(() -> fleet.draft(index, "r" + index, TOKENS, DEADLINE_MS, sink)));
			}
			ThroughputBench.pause(FAULT_AFTER_MS);
			BenchEngines.Server victim = busiest(fleet);
			long faultNs = System.nanoTime();
			inject.accept(victim);
			List<DraftResult> results = drafts.stream().map(RecoveryBench::get).toList();
			long lost = results.stream().filter((result) -> !(result.outcome() instanceof Outcome.Answered)).count();
			long retries = results.stream().mapToLong((result) -> result.attempts() - 1).sum();
			String prefix = "recovery." + fault + ".";
			report.put(prefix + "longest-gap", "ms",
					recorders.stream().mapToDouble((recorder) -> recorder.longestAfter(faultNs)).max().orElse(0));
			report.put(prefix + "longest-gap-before", "ms",
					recorders.stream().mapToDouble((recorder) -> recorder.longestBefore(faultNs)).max().orElse(0));
			report.put(prefix + "drafts-resumed", "drafts", retries);
			report.put(prefix + "drafts-lost", "drafts", lost);
		}
	}

	private static BenchEngines.Server busiest(BenchFleet fleet) {
		BenchEngines.Server busiest = null;
		for (Upstream upstream : fleet.upstreams()) {
			BenchEngines.Server server = fleet.engines().server(upstream.id());
			if (busiest == null || server.running() > busiest.running()) {
				busiest = server;
			}
		}
		return busiest;
	}

	private static DraftResult get(Future<DraftResult> future) {
		try {
			return future.get();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Records when tokens arrive. Confined to one thread until the draft is completed.
	 */
	private static final class GapRecorder implements TokenSink {

		private final List<Long> timesNs = new ArrayList<>();

		@Override
		public void token(String token) {
			this.timesNs.add(System.nanoTime());
		}

		@Override
		public boolean cancelled() {
			return false;
		}

		double longestAfter(long sinceNs) {
			return longest(sinceNs, Long.MAX_VALUE);
		}

		double longestBefore(long untilNs) {
			return longest(Long.MIN_VALUE, untilNs);
		}

		private double longest(long fromNs, long toNs) {
			long longest = 0;
			for (int i = 1; i < this.timesNs.size(); i++) {
				if (this.timesNs.get(i) >= fromNs && this.timesNs.get(i) < toNs) {
					longest = Math.max(longest, this.timesNs.get(i) - this.timesNs.get(i - 1));
				}
			}
			return longest / 1e6;
		}

	}

}
