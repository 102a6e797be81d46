package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Measures overload by one large team and nine small ones.
 */
@Command(name = "overload", description = "One, two and five times the bound with one large team and nine small")
public final class OverloadCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new OverloadBench(quick() ? 5000 : 12_000).run(report);
	}

}
