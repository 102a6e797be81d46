package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Recovery from a stage's faults.
 */
@Command(name = "recovery", description = "From a stage's fault to the callers' next tokens")
public final class RecoveryCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new RecoveryBench().run(report);
	}

}
