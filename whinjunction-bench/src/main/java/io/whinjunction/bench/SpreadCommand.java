package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Measures how the configuration spreads between members.
 */
@Command(name = "spread",
		description = "Members on real connections: time to join, cost, and time from accepted to in force")
public final class SpreadCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new SpreadBench(quick() ? 3000 : 10_000).run(report, 8, 39, 130, 390);
	}

}
