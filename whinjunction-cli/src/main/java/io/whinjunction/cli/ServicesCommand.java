package io.whinjunction.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.Command;
import io.whinjunction.configuration.ConfigurationReader;
import io.whinjunction.configuration.ConfigurationReader.Checked;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.configuration.Service;
import io.whinjunction.platform.ObjectStore.Read;

/**
 * Lists the services of the accepted configuration.
 */
@Command(name = "services", description = "Lists the services of the accepted configuration; " + ExitCode.HELP)
public final class ServicesCommand extends WhinCommand {

	@Override
	ExitCode execute() {
		if (!(store().read(Manifest.KEY) instanceof Read.Found found)) {
			printError("the platform did not answer, or nothing was applied yet");
			return ExitCode.UNAVAILABLE;
		}
		Manifest manifest = Manifest.parse(found.value());
		if (manifest == null || !(ConfigurationReader.check("manifest", manifest.document(),
				manifest.revision()) instanceof Checked.Valid valid)) {
			printError("the manifest in the platform is unreadable or invalid");
			return ExitCode.PARTIAL;
		}
		List<Map<String, Object>> rows = new ArrayList<>();
		for (Service service : valid.configuration().services().values()) {
			rows.add(row(service));
		}
		rows.sort((left, right) -> left.get("name").toString().compareTo(right.get("name").toString()));
		printRows(List.of("name", "kind", "detail"), rows);
		return ExitCode.OK;
	}

	private static Map<String, Object> row(Service service) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("name", service.name());
		switch (service) {
			case Service.Model model -> {
				row.put("kind", "model");
				row.put("detail", model.layerCount() + " layers in " + model.ranges() + ", " + model.upstreamsPerRange()
						+ " upstreams each");
			}
			case Service.Plain plain -> {
				row.put("kind", "plain");
				row.put("detail", "repeatable: " + plain.repeatableMethods().stream().sorted().toList());
			}
		}
		return row;
	}

}
