package io.whinjunction.controller;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.ConfigurationReader;
import io.whinjunction.configuration.Problem;
import io.whinjunction.configuration.Section;
import tools.jackson.databind.JsonNode;

/**
 * The settings of a controller, read from one TOML file. Immutable.
 *
 * @param id the name of this instance
 * @param host the address to bind
 * @param operatorPort the port for operators; 0 for any free port
 * @param platform the address of the platform's object API, {@code HOST:PORT}
 * @param platformMs the time limit of a call to the platform, in milliseconds
 * @param leaseMs the lease's time to live, in milliseconds
 * @param periodMs the planning period, in milliseconds
 * @param loadsAtOnce how many engines may load weights at the same time
 * @param claimsKeptS the retention period of action claims, in seconds
 */
public record ControllerSettings(String id, String host, int operatorPort, String platform, int platformMs, int leaseMs,
		int periodMs, int loadsAtOnce, int claimsKeptS) {

	private static final int HOUR_MS = 3_600_000;

	private static final int DAY_S = 86_400;

	/**
	 * Reads and checks a settings file.
	 * @param file the file
	 * @param problems receives the faults found
	 * @return the settings, valid only if no fault was added; {@code null} if the file is
	 * not readable TOML
	 */
	static ControllerSettings read(Path file, List<Problem> problems) {
		JsonNode tree = ConfigurationReader.readToml(file, problems);
		if (tree == null) {
			return null;
		}
		List<Problem> found = new ArrayList<>();
		Section root = Section.root(file.toString(), tree, found);
		ControllerSettings settings = new ControllerSettings(root.text("id", null), root.text("host", "127.0.0.1"),
				root.integer("operator-port", null, 0, 65_535), root.text("platform", null),
				root.integer("platform-ms", 1000, 10, HOUR_MS), root.integer("lease-ms", 5000, 100, HOUR_MS),
				root.integer("period-ms", 1000, 10, HOUR_MS), root.integer("loads-at-once", 4, 1, 1000),
				root.integer("claims-kept-s", DAY_S, 60, 30 * DAY_S));
		root.reportUnknownKeys();
		problems.addAll(found);
		return settings;
	}

}
