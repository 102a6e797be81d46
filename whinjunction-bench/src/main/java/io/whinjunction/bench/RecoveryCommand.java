package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Command;

/**
 * Measures the recovery from faults of a stage.
 */
@Command(name = "recovery", description = "Time from the fault of a stage to the callers' next tokens")
public final class RecoveryCommand extends BenchCommand {

	@Override
	void measure(Report report) {
		new RecoveryBench().run(report);
	}

}
