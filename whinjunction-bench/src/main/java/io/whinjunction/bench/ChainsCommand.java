package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Measures the policies on emulated chains.
 */
@Command(name = "chains", description = "Benefit on emulated chains of mixed engines, by policy, size and scenario")
public final class ChainsCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new ChainBench(quick() ? 9_000 : 30_000).run(report);
	}

}
