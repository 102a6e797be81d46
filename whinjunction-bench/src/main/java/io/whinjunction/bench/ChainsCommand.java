package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Emulated chains.
 */
@Command(name = "chains", description = "Benefit on emulated chains of mixed engines, by policy, size and trouble")
public final class ChainsCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new ChainBench(quick() ? 9_000 : 30_000).run(report);
	}

}
