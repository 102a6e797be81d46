package io.whinjunction.cli;

import com.github.rvesse.airline.annotations.Command;
import io.whinjunction.configuration.ConfigurationReader.Checked;

/**
 * Checks configuration files offline.
 */
@Command(name = "check", description = "Checks a base file with its overlays offline")
public final class CheckCommand extends FilesCommand {

	@Override
	ExitCode execute() {
		Checked.Valid valid = readFiles();
		if (valid == null) {
			return ExitCode.USAGE;
		}
		System.out.println("valid: " + valid.configuration().places().size() + " places, "
				+ valid.configuration().services().size() + " services, " + valid.configuration().teams().size()
				+ " teams");
		return ExitCode.OK;
	}

}
