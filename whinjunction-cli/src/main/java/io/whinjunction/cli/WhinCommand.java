package io.whinjunction.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.whinjunction.configuration.Json;
import io.whinjunction.http.Call;
import io.whinjunction.http.CallResult;
import io.whinjunction.http.HttpCaller;
import io.whinjunction.platform.HttpObjectStore;
import io.whinjunction.platform.ObjectStore;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Base class of all commands: access to the platform and to entries, and output. Confined
 * to one thread.
 */
abstract class WhinCommand implements Runnable {

	private static final int CONNECT_MS = 1000;

	private static final long TIMEOUT_MS = 2000;

	@Option(name = "--platform", title = "HOST:PORT", description = "The address of the platform's object API")
	private String platform;

	@Option(name = "--entry", title = "HOST:PORT",
			description = "The operator port of an entry; may be given several times")
	private List<String> entries = new ArrayList<>();

	@Option(name = "--output", title = "FORMAT", description = "Output format, table or json; default table")
	@AllowedRawValues(allowedValues = { "table", "json" })
	private String output = "table";

	private HttpCaller caller;

	private ExitCode exitCode = ExitCode.OK;

	@Override
	public final void run() {
		try (HttpCaller newCaller = new HttpCaller(CONNECT_MS, CONNECT_MS)) {
			this.caller = newCaller;
			this.exitCode = execute();
		}
		catch (UsageException ex) {
			System.err.println("whin: " + ex.getMessage());
			this.exitCode = ExitCode.USAGE;
		}
	}

	abstract ExitCode execute();

	ExitCode exitCode() {
		return this.exitCode;
	}

	ObjectStore store() {
		if (this.platform == null) {
			throw new UsageException("--platform HOST:PORT is needed");
		}
		return new HttpObjectStore(this.caller, this.platform, TIMEOUT_MS);
	}

	List<String> entries() {
		if (this.entries.isEmpty()) {
			throw new UsageException("--entry HOST:PORT is needed, once for each entry");
		}
		return this.entries;
	}

	boolean hasEntries() {
		return !this.entries.isEmpty();
	}

	boolean jsonOutput() {
		return this.output.equals("json");
	}

	/**
	 * Sends a GET request to an entry.
	 * @param entry the entry's operator port, {@code HOST:PORT}
	 * @param path the path
	 * @return the parsed body, or {@code null} without a successful JSON response
	 */
	JsonNode get(String entry, String path) {
		return parse(this.caller.call(Call.fetch(entry, path, TIMEOUT_MS)));
	}

	JsonNode post(String entry, String path, String body) {
		return parse(this.caller.call(Call.json("POST", entry, path, body, TIMEOUT_MS)));
	}

	static void printError(String message) {
		System.err.println("whin: " + message);
	}

	/**
	 * Prints rows as a table, or as JSON if this is the output format.
	 * @param columns the column names, in order
	 * @param rows the values by column name
	 */
	void printRows(List<String> columns, List<Map<String, Object>> rows) {
		if (jsonOutput()) {
			System.out.println(Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(rows));
			return;
		}
		int[] widths = columns.stream().mapToInt(String::length).toArray();
		for (Map<String, Object> row : rows) {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], cell(row, columns.get(i)).length());
			}
		}
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < widths.length; i++) {
			text.append(pad(columns.get(i).toUpperCase(Locale.ROOT), widths[i]));
		}
		text.append('\n');
		for (Map<String, Object> row : rows) {
			for (int i = 0; i < widths.length; i++) {
				text.append(pad(cell(row, columns.get(i)), widths[i]));
			}
			text.append('\n');
		}
		System.out.print(text);
	}

	private static String cell(Map<String, Object> row, String column) {
		return String.valueOf(row.getOrDefault(column, ""));
	}

	private static String pad(String text, int width) {
		return text + " ".repeat(width - text.length() + 2);
	}

	private static JsonNode parse(CallResult result) {
		if (!(result instanceof CallResult.Response response) || response.status() >= 300) {
			return null;
		}
		try {
			return Json.MAPPER.readTree(response.body());
		}
		catch (JacksonException ex) {
			return null;
		}
	}

	/**
	 * Thrown if a required argument is missing or a given file cannot be read.
	 */
	static final class UsageException extends RuntimeException {

		UsageException(String message) {
			super(message);
		}

	}

}
