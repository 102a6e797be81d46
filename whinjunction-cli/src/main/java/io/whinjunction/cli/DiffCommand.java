package io.whinjunction.cli;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import io.whinjunction.configuration.ConfigurationReader.Checked;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.platform.ObjectStore.Read;

/**
 * Shows what applying configuration files would change.
 */
@Command(name = "diff", description = "Shows what applying the files would change; " + ExitCode.HELP)
public final class DiffCommand extends FilesCommand {

	@Override
	ExitCode execute() {
		Checked.Valid valid = readFiles();
		if (valid == null) {
			return ExitCode.USAGE;
		}
		Read read = store().read(Manifest.KEY);
		if (read instanceof Read.Unavailable unavailable) {
			printError("the platform did not answer: " + unavailable.reason());
			return ExitCode.UNAVAILABLE;
		}
		Manifest manifest = (read instanceof Read.Found found) ? Manifest.parse(found.value()) : null;
		List<String> lines = DocumentDiff.lines((manifest != null) ? manifest.document() : Json.object(),
				valid.document());
		lines.forEach(System.out::println);
		return lines.isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
	}

}
