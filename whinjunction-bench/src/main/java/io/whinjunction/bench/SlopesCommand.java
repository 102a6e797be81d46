package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Measures how the cost of decisions grows with the size of tables.
 */
@Command(name = "slopes", description = "Cost of decisions and memory as tables grow to the target size")
public final class SlopesCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new SlopeBench(quick() ? 100 : 500).run(report);
		new ChainSlopeBench(quick() ? 100 : 500).run(report);
	}

}
