package io.whinjunction.bench;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Option;

/**
 * Base class of the benchmark commands, with the options for duration and output file.
 */
abstract class BenchCommand implements Runnable {

	@Option(name = "--quick", description = "Run shorter benchmarks")
	private boolean quick;

	@Option(name = "--out", title = "FILE", description = "File to write the results to, as JSON")
	private String out;

	@Override
	public final void run() {
		Report report = new Report();
		measure(report);
		report.printBounds();
		if (this.out != null) {
			report.write(Path.of(this.out));
		}
		if (report.brokenBounds() > 0) {
			System.exit(1);
		}
	}

	abstract void measure(Report report);

	boolean quick() {
		return this.quick;
	}

}
