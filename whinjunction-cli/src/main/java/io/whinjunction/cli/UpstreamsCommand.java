package io.whinjunction.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.Command;
import tools.jackson.databind.JsonNode;

/**
 * Lists the upstreams known to each entry.
 */
@Command(name = "upstreams", description = "Lists the upstreams known to the given entries; " + ExitCode.HELP)
public final class UpstreamsCommand extends WhinCommand {

	private static final List<String> COLUMNS = List.of("entry", "id", "service", "failure_domain", "layers",
			"generation", "in_flight", "leaving", "paused");

	@Override
	ExitCode execute() {
		List<Map<String, Object>> rows = new ArrayList<>();
		ExitCode code = ExitCode.OK;
		for (String entry : entries()) {
			JsonNode upstreams = get(entry, "/upstreams");
			if (upstreams == null) {
				printError(entry + " did not answer");
				code = ExitCode.UNAVAILABLE;
				continue;
			}
			for (JsonNode upstream : upstreams) {
				Map<String, Object> row = new LinkedHashMap<>();
				row.put("entry", entry);
				COLUMNS.stream().skip(1).forEach((column) -> row.put(column, upstream.path(column).asString("")));
				rows.add(row);
			}
		}
		rows.sort((left, right) -> (left.get("id").toString()).compareTo(right.get("id").toString()));
		printRows(COLUMNS, rows);
		return code;
	}

}
