package io.whinjunction.bench;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.whinjunction.log.Logs;

/**
 * Main class of {@code whin-bench}: the benchmarks, and the probe that
 * {@code run-failures} calls.
 */
@Cli(name = "whin-bench", description = "Measures whinjunction against its own baselines", defaultCommand = Help.class,
		commands = { Help.class, ProbeCommand.class, ThroughputCommand.class, SlopesCommand.class, SpreadCommand.class,
				RecoveryCommand.class, OverloadCommand.class, ChainsCommand.class, PlotCommand.class })
public final class BenchMain {

	private static final int USAGE = 2;

	private BenchMain() {
	}

	/**
	 * Runs the command that the arguments name.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		Logs.initialize();
		try {
			new com.github.rvesse.airline.Cli<Runnable>(BenchMain.class).parse(args).run();
		}
		catch (ParseException ex) {
			System.err.println("whin-bench: " + ex.getMessage());
			System.exit(USAGE);
		}
	}

}
