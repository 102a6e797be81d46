package io.whinjunction.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import io.whinjunction.configuration.ConfigurationReader;
import io.whinjunction.configuration.ConfigurationReader.Checked;

/**
 * Base class of commands that read a base file and overlays.
 */
abstract class FilesCommand extends WhinCommand {

	@Arguments(title = "BASE", description = "The base file")
	private String base;

	@Option(name = "--overlay", title = "FILE", description = "The overlay file of a site; may be given several times")
	private List<String> overlays = new ArrayList<>();

	/**
	 * Reads and checks the files, and prints every fault.
	 * @return the checked configuration, or {@code null} if there is a fault
	 */
	Checked.Valid readFiles() {
		if (this.base == null) {
			throw new UsageException("a base file is needed");
		}
		Checked checked = ConfigurationReader.readFiles(Path.of(this.base),
				this.overlays.stream().map(Path::of).toList());
		return switch (checked) {
			case Checked.Valid valid -> valid;
			case Checked.Invalid invalid -> {
				invalid.problems().forEach((problem) -> printError(problem.toString()));
				yield null;
			}
		};
	}

}
