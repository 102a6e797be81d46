package io.whinjunction.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.Command;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.platform.ObjectStore.Read;
import tools.jackson.databind.JsonNode;

/**
 * Shows the accepted revision and, for each entry, the revision in force.
 */
@Command(name = "status",
		description = "Shows the accepted revision and, per entry, the one in force; " + ExitCode.HELP)
public final class StatusCommand extends WhinCommand {

	private static final List<String> COLUMNS = List.of("entry", "id", "revision", "confirmed", "serving", "stopping",
			"running", "waiting", "members");

	@Override
	ExitCode execute() {
		String accepted = switch (store().read(Manifest.KEY)) {
			case Read.Found found -> revision(found);
			case Read.Absent ignored -> "none yet";
			case Read.Unavailable unavailable -> "unknown, the platform did not answer: " + unavailable.reason();
		};
		List<Map<String, Object>> rows = new ArrayList<>();
		boolean allServing = true;
		for (String entry : entries()) {
			JsonNode status = get(entry, "/status");
			rows.add(row(entry, status));
			allServing &= status != null && status.path("serving").asBoolean(false);
		}
		if (!jsonOutput()) {
			System.out.println("accepted revision: " + accepted);
		}
		printRows(COLUMNS, rows);
		return allServing ? ExitCode.OK : ExitCode.PARTIAL;
	}

	private static String revision(Read.Found found) {
		Manifest manifest = Manifest.parse(found.value());
		return (manifest != null) ? Long.toString(manifest.revision()) : "unreadable";
	}

	private static Map<String, Object> row(String entry, JsonNode status) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("entry", entry);
		if (status == null) {
			row.put("id", "no answer");
			return row;
		}
		long ageMs = status.path("confirmation_age_ms").asLong(-1);
		long alive = 0;
		for (JsonNode member : status.path("members")) {
			alive += member.path("status").asString("").equals("alive") ? 1 : 0;
		}
		row.put("id", status.path("id").asString(""));
		row.put("revision", status.path("revision").asLong(0));
		row.put("confirmed", (ageMs >= 0) ? ageMs + " ms ago" : "never");
		row.put("serving", status.path("serving").asBoolean(false) ? "yes" : "no");
		row.put("stopping", status.path("stopping").asBoolean(false) ? "yes" : "no");
		row.put("running", status.path("running").asLong(0));
		row.put("waiting", status.path("waiting").asLong(0));
		row.put("members", alive + " of " + status.path("members").size());
		return row;
	}

}
