package io.whinjunction.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.whinjunction.log.Logs;

/**
 * The {@code whin} program for operators.
 */
@Cli(name = "whin", description = "Checks, applies and explains the configuration of whinjunction",
		defaultCommand = Help.class,
		commands = { Help.class, CheckCommand.class, DiffCommand.class, ApplyCommand.class, StatusCommand.class,
				ServicesCommand.class, UpstreamsCommand.class, DrainCommand.class, ExplainCommand.class,
				LossesCommand.class })
public final class WhinMain {

	private WhinMain() {
	}

	/**
	 * Runs one command and exits with its code.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		Logs.initialize();
		System.exit(run(args));
	}

	static int run(String... args) {
		Runnable command;
		try {
			command = new com.github.rvesse.airline.Cli<Runnable>(WhinMain.class).parse(args);
		}
		catch (ParseException ex) {
			System.err.println("whin: " + ex.getMessage() + "\nSee 'whin help'.");
			return ExitCode.USAGE.code();
		}
		command.run();
		return (command instanceof WhinCommand whinCommand) ? whinCommand.exitCode().code() : ExitCode.OK.code();
	}

}
