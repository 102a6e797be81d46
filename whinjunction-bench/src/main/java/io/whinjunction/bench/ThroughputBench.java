package io.whinjunction.bench;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import io.whinjunction.pipeline.ChoicePolicy;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.session.TokenSink;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures, by policy, the throughput as a ratio of the max-flow bound, and the time to
 * the first token at nine tenths of the bound.
 */
final class ThroughputBench {

	private static final int TOKENS = 24;

	private static final long DEADLINE_MS = 120_000;

	private final long runMs;

	ThroughputBench(long runMs) {
		this.runMs = runMs;
	}

	void run(Report report) {
		for (Map.Entry<String, Supplier<ChoicePolicy>> policy : Policies.all().entrySet()) {
			report.put("throughput.uniform." + policy.getKey(), "of the bound",
					saturatedRatio(policy.getValue(), 100, false));
			report.put("throughput.degraded." + policy.getKey(), "of the bound",
					saturatedRatio(policy.getValue(), 2000, true));
		}
		for (long lagMs : new long[] { 500, 5000 }) {
			report.put("throughput.lag-" + lagMs + "-ms." + Policies.OURS, "of the bound",
					saturatedRatio(Policies::ours, lagMs, false));
		}
		for (Map.Entry<String, Supplier<ChoicePolicy>> policy : Policies.all().entrySet()) {
			report.put("first-token-p95." + policy.getKey(), "ms", firstTokenP95Ms(policy.getValue()));
		}
		report.atLeast("throughput.uniform." + Policies.OURS, 0.95);
		report.atLeast("throughput.degraded." + Policies.OURS, 0.90);
		report.atMostTimes("first-token-p95." + Policies.OURS, 1.0 / 3, "first-token-p95." + Policies.ROUND_ROBIN);
	}

	private double saturatedRatio(Supplier<ChoicePolicy> policy, long lagMs, boolean degraded) {
		try (BenchFleet fleet = new BenchFleet(policy, lagMs, 1)) {
			if (degraded) {
				degradeOneInTen(fleet);
			}
			LongAdder tokens = new LongAdder();
			AtomicBoolean stopped = new AtomicBoolean();
			// So many callers that the policy limits the throughput, not their number.
			int callers = (int) (fleet.boundPerSecond() * 0.4);
			try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
				for (int i = 0; i < callers; i++) {
					int caller = i;
					executor.execute(() -> {
						for (int n = 0; !stopped.get(); n++) {
							fleet.draft(caller, caller + "-" + n, TOKENS, DEADLINE_MS,
									new CountingSink(tokens, stopped));
						}
					});
				}
				pause(this.runMs / 2);
				long tokensBefore = tokens.sum();
				long startNs = System.nanoTime();
				pause(this.runMs);
				double perSecond = (tokens.sum() - tokensBefore) * 1e9 / (System.nanoTime() - startNs);
				stopped.set(true);
				return perSecond / fleet.boundPerSecond();
			}
		}
	}

	private double firstTokenP95Ms(Supplier<ChoicePolicy> policy) {
		try (BenchFleet fleet = new BenchFleet(policy, 500, 2)) {
			double perSecond = 0.9 * fleet.boundPerSecond() / TOKENS;
			Histogram histogram = new ConcurrentHistogram(3);
			Random random = new Random(3);
			AtomicInteger count = new AtomicInteger();
			AtomicBoolean stopped = new AtomicBoolean();
			try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
				long endNs = System.nanoTime() + this.runMs * 2_000_000;
				long warmUpEndNs = System.nanoTime() + this.runMs * 500_000;
				double nextNs = System.nanoTime();
				while (System.nanoTime() < endNs) {
					nextNs += -Math.log(1 - random.nextDouble()) * 1e9 / perSecond;
					LockSupport.parkNanos((long) nextNs - System.nanoTime());
					int n = count.getAndIncrement();
					long sentNs = System.nanoTime();
					executor
						.execute(() -> fleet.draft(n, "f" + n, TOKENS, DEADLINE_MS, new FirstTokenSink(stopped, () -> {
							if (sentNs > warmUpEndNs) {
								histogram.recordValue((System.nanoTime() - sentNs) / 1000);
							}
						})));
				}
				stopped.set(true);
			}
			return histogram.getValueAtPercentile(95) / 1000.0;
		}
	}

	private static void degradeOneInTen(BenchFleet fleet) {
		int i = 0;
		for (Upstream upstream : fleet.upstreams()) {
			if (i++ % 10 == 4) {
				fleet.engines().server(upstream.id()).slowDown(4);
			}
		}
	}

	static void pause(long durationMs) {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record CountingSink(LongAdder count, AtomicBoolean stopped) implements TokenSink {

		@Override
		public void token(String token) {
			this.count.increment();
		}

		@Override
		public boolean cancelled() {
			return this.stopped.get();
		}

	}

	private static final class FirstTokenSink implements TokenSink {

		private final AtomicBoolean stopped;

		private final Runnable onFirstToken;

		private boolean received;

		FirstTokenSink(AtomicBoolean stopped, Runnable onFirstToken) {
			this.stopped = stopped;
			this.onFirstToken = onFirstToken;
		}

		@Override
		public void token(String token) {
			if (!this.received) {
				this.received = true;
				this.onFirstToken.run();
			}
		}

		@Override
		public boolean cancelled() {
			return this.stopped.get();
		}

	}

}
