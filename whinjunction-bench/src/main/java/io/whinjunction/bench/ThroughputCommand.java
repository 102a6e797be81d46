package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Measures the throughput and the time to the first token by policy.
 */
@Command(name = "throughput",
		description = "Throughput as a ratio of the bound, and time to the first token, by policy")
public final class ThroughputCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new ThroughputBench(quick() ? 3000 : 6_000).run(report);
	}

}
