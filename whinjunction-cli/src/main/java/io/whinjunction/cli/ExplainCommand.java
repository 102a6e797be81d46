package io.whinjunction.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.whinjunction.configuration.Json;
import tools.jackson.databind.JsonNode;

/**
 * Explains how a request was routed, or why it was refused.
 */
@Command(name = "explain", description = "Explains how a request was routed or why it was refused; " + ExitCode.HELP)
public final class ExplainCommand extends WhinCommand {

	@Arguments(title = "REQUEST-ID", description = "The whin-request-id of the response")
	private String requestId;

	@Override
	ExitCode execute() {
		if (this.requestId == null) {
			throw new UsageException("the whin-request-id of a response is needed");
		}
		for (String entry : entries()) {
			JsonNode decision = get(entry, "/explain/" + this.requestId);
			if (decision != null) {
				show(decision);
				return ExitCode.OK;
			}
		}
		printError("no entry has a record of request '" + this.requestId + "'; each keeps its latest 2048 requests");
		return ExitCode.PARTIAL;
	}

	private void show(JsonNode decision) {
		if (jsonOutput()) {
			System.out.println(Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(decision));
			return;
		}
		System.out.println("request " + decision.path("request_id").asString("") + " at "
				+ decision.path("entry").asString("") + " (" + decision.path("failure_domain").asString("") + "), team "
				+ decision.path("team").asString("") + ", service " + decision.path("service").asString("")
				+ ", configuration revision " + decision.path("revision").asLong(0));
		System.out
			.println("outcome " + decision.path("outcome").asString("") + ", " + decision.path("code").asString("")
					+ ", " + decision.path("took_ms").asLong(0) + " ms. " + decision.path("why").asString(""));
		List<Map<String, Object>> rows = new ArrayList<>();
		for (JsonNode hop : decision.path("hops")) {
			Map<String, Object> row = new LinkedHashMap<>();
			hop.properties().forEach((field) -> row.put(field.getKey(), field.getValue().asString("")));
			rows.add(row);
		}
		printRows(List.of("attempt", "upstream", "failure_domain", "layers", "steps", "millis", "end"), rows);
	}

}
