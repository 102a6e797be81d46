package io.whinjunction.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;
import tools.jackson.dataformat.toml.TomlMapper;

/**
 * Builds a {@link Configuration} from a base file with overlays, or from a manifest.
 * <p>
 * Invariant: the result is {@link Checked.Valid} if every check passed, and otherwise
 * lists all problems. Stateless.
 */
public final class ConfigurationReader {

	private static final int MAX_LAYERS = 10_000;

	private static final int MAX_TIMEOUT_MS = 3_600_000;

	private static final String KEY_HASH_PATTERN = "[0-9a-f]{64}";

	private ConfigurationReader() {
	}

	/**
	 * Reads and validates a base file with its overlays. Values of later files override
	 * those of earlier ones; tables are merged.
	 * @param base the base file
	 * @param overlays the overlays, in order
	 * @return the configuration at revision 0 with its merged document, or all problems
	 */
	public static Checked readFiles(Path base, List<Path> overlays) {
		List<Problem> problems = new ArrayList<>();
		ObjectNode merged = Json.object();
		List<String> names = new ArrayList<>();
		List<Path> files = new ArrayList<>(List.of(base));
		files.addAll(overlays);
		for (Path file : files) {
			names.add(file.toString());
			JsonNode tree = readToml(file, problems);
			if (tree != null) {
				merge(merged, (ObjectNode) tree);
			}
		}
		if (!problems.isEmpty()) {
			return new Checked.Invalid(problems);
		}
		return check(String.join(" + ", names), merged, 0);
	}

	/**
	 * Reads one TOML file.
	 * @param file the file
	 * @param problems the list to add problems to
	 * @return its tree, or {@code null} if it could not be read
	 */
	public static JsonNode readToml(Path file, List<Problem> problems) {
		try {
			JsonNode tree = new TomlMapper().readTree(Files.readString(file));
			return tree.isObject() ? tree : Json.object();
		}
		catch (JacksonException ex) {
			String where = (ex.getLocation() != null) ? "line " + ex.getLocation().getLineNr() : "file";
			problems.add(new Problem(file.toString(), where, "is not TOML: " + ex.getOriginalMessage()));
		}
		catch (IOException ex) {
			problems.add(new Problem(file.toString(), "file", "cannot be read: " + ex));
		}
		return null;
	}

	/**
	 * Validates a merged document.
	 * @param name the name of the document in messages
	 * @param document the document
	 * @param revision its revision
	 * @return the configuration, or all problems
	 */
	public static Checked check(String name, JsonNode document, long revision) {
		List<Problem> problems = new ArrayList<>();
		Section root = Section.root(name, document, problems);
		Map<String, Place> places = places(root);
		Map<String, Service> services = services(root);
		Map<String, Team> teams = teams(root, places.keySet(), services.keySet());
		root.reportUnknownKeys();
		if (!problems.isEmpty()) {
			return new Checked.Invalid(List.copyOf(problems));
		}
		return new Checked.Valid(
				new Configuration(revision, Map.copyOf(places), Map.copyOf(services), Map.copyOf(teams)), document);
	}

	private static void merge(ObjectNode into, ObjectNode from) {
		for (Map.Entry<String, JsonNode> entry : from.properties()) {
			JsonNode present = into.get(entry.getKey());
			if (present instanceof ObjectNode table && entry.getValue() instanceof ObjectNode overlay) {
				merge(table, overlay);
			}
			else {
				into.set(entry.getKey(), entry.getValue());
			}
		}
	}

	private static Map<String, Place> places(Section root) {
		Map<String, Place> places = new LinkedHashMap<>();
		Map<String, String> owners = new LinkedHashMap<>();
		root.tables("places").forEach((name, section) -> {
			Set<String> failureDomains = new LinkedHashSet<>(section.texts("failure-domains", null));
			places.put(name, new Place(name, section.text("region", null), Set.copyOf(failureDomains)));
			for (String failureDomain : failureDomains) {
				String owner = owners.putIfAbsent(failureDomain, name);
				if (owner != null) {
					section.report("failure-domains",
							"'" + failureDomain + "' is already assigned to place '" + owner + "'");
				}
			}
			section.reportUnknownKeys();
		});
		return places;
	}

	private static Map<String, Service> services(Section root) {
		Map<String, Service> services = new LinkedHashMap<>();
		root.tables("services").forEach((name, section) -> {
			String kind = section.text("kind", null);
			switch (kind) {
				case "model" -> services.put(name, model(name, section));
				case "plain" -> services.put(name, plain(name, section));
				default -> section.report("kind",
						"'" + kind + "' is not a kind of service" + NearestMatch.hint(kind, List.of("model", "plain")));
			}
			section.reportUnknownKeys();
		});
		return services;
	}

	private static Service model(String name, Section section) {
		int layerCount = section.integer("layers", null, 1, MAX_LAYERS);
		List<LayerRange> ranges = new ArrayList<>();
		for (String text : section.texts("layer-ranges", null)) {
			try {
				ranges.add(LayerRange.parse(text));
			}
			catch (IllegalArgumentException ex) {
				section.report("layer-ranges", ex.getMessage() + "; write for example \"0-8\" for layers 0 to 7");
			}
		}
		checkLayersCovered(section, layerCount, ranges);
		return new Service.Model(name, layerCount, List.copyOf(ranges), section.bool("checks-fencing", false),
				section.integer("upstreams-per-range", 2, 1, 1000),
				section.integer("step-timeout-ms", 2000, 10, MAX_TIMEOUT_MS),
				section.integer("answer-deadline-ms", 60_000, 100, MAX_TIMEOUT_MS));
	}

	private static void checkLayersCovered(Section section, int layerCount, List<LayerRange> ranges) {
		int covered = 0;
		for (LayerRange range : ranges) {
			if (range.first() > covered) {
				section.report("layer-ranges",
						"layers " + covered + " to " + (range.first() - 1) + " are not covered by any range");
			}
			if (range.first() < covered) {
				section.report("layer-ranges", "'" + range + "' overlaps the range before it");
			}
			covered = range.end();
		}
		if (covered != layerCount) {
			section.report("layer-ranges", "end at layer " + covered + ", the model has " + layerCount);
		}
	}

	private static Service plain(String name, Section section) {
		return new Service.Plain(name,
				Set.copyOf(new LinkedHashSet<>(section.texts("repeatable-methods", List.of("GET", "HEAD")))),
				section.integer("call-timeout-ms", 5000, 10, MAX_TIMEOUT_MS));
	}

	private static Map<String, Team> teams(Section root, Set<String> places, Set<String> services) {
		Map<String, Team> teams = new LinkedHashMap<>();
		Map<String, String> owners = new LinkedHashMap<>();
		root.tables("teams").forEach((name, section) -> {
			List<String> hashes = section.texts("key-sha256", null);
			for (String hash : hashes) {
				if (!hash.matches(KEY_HASH_PATTERN)) {
					section.report("key-sha256", "'" + hash + "' is not a SHA-256 in 64 lower-case hexadecimal digits");
				}
				String owner = owners.putIfAbsent(hash, name);
				if (owner != null) {
					section.report("key-sha256", "is also a key of team '" + owner + "'");
				}
			}
			List<String> allowedPlaces = section.texts("places", null);
			if (allowedPlaces.isEmpty()) {
				section.report("places", "permits no place; name at least one of: " + String.join(", ", places));
			}
			checkKnown(section, "places", allowedPlaces, places);
			List<String> allowedServices = section.texts("services", null);
			checkKnown(section, "services", allowedServices, services);
			teams.put(name, new Team(name, Set.copyOf(new LinkedHashSet<>(hashes)),
					Set.copyOf(new LinkedHashSet<>(allowedServices)), Set.copyOf(new LinkedHashSet<>(allowedPlaces)),
					section.integer("rate-per-s", 100, 1, 1_000_000), section.integer("weight", 1, 1, 1000)));
			section.reportUnknownKeys();
		});
		return teams;
	}

	private static void checkKnown(Section section, String key, List<String> names, Set<String> known) {
		for (String name : names) {
			if (!known.contains(name)) {
				section.report(key, "'" + name + "' is not known" + NearestMatch.hint(name, known));
			}
		}
	}

	/**
	 * The result of a validation.
	 */
	public sealed interface Checked {

		/**
		 * The document is valid.
		 *
		 * @param configuration the configuration
		 * @param document the merged document it was built from
		 */
		record Valid(Configuration configuration, JsonNode document) implements Checked {
		}

		/**
		 * The document is invalid.
		 *
		 * @param problems all problems, at least one
		 */
		record Invalid(List<Problem> problems) implements Checked {
		}

	}

}
