package io.whinjunction.cli;

import com.github.rvesse.airline.annotations.Command;

/**
 * Stops entries gracefully.
 */
@Command(name = "drain",
		description = "Stops the given entries gracefully: they report not ready, finish the requests in progress "
				+ "and exit; " + ExitCode.HELP)
public final class DrainCommand extends WhinCommand {

	@Override
	ExitCode execute() {
		ExitCode code = ExitCode.OK;
		for (String entry : entries()) {
			if (post(entry, "/drain", "{}") != null) {
				System.out.println(entry + " is stopping");
			}
			else {
				printError(entry + " did not answer");
				code = ExitCode.UNAVAILABLE;
			}
		}
		return code;
	}

}
