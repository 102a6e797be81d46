package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Slopes of the product's decisions over growing tables.
 */
@Command(name = "slopes", description = "Cost of decisions and memory as tables grow to the target's size")
public final class SlopesCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new SlopeBench(quick() ? 100 : 500).run(report);
		new ChainSlopeBench(quick() ? 100 : 500).run(report);
	}

}
