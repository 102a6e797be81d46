package io.whinjunction.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import tools.jackson.databind.JsonNode;

/**
 * A table of a settings file whose values are validated when read.
 * <p>
 * Invariant: every problem is added to one shared list and a usable default is returned,
 * so that one pass finds all problems; {@link #reportUnknownKeys()} reports keys that
 * were never read. Confined to one thread.
 */
public final class Section {

	private final String file;

	private final String path;

	private final JsonNode node;

	private final List<Problem> problems;

	private final Set<String> readKeys = new LinkedHashSet<>();

	Section(String file, String path, JsonNode node, List<Problem> problems) {
		this.file = file;
		this.path = path;
		this.node = node;
		this.problems = problems;
	}

	/**
	 * Opens the root table.
	 * @param file the file name in messages
	 * @param node the table
	 * @param problems the list to add problems to
	 * @return the section
	 */
	public static Section root(String file, JsonNode node, List<Problem> problems) {
		return new Section(file, "", node, problems);
	}

	/**
	 * Reads a string.
	 * @param key the key
	 * @param fallback the default if the key is missing; {@code null} if the key is
	 * required
	 * @return the string; {@code ""} if it is missing but required, or invalid
	 */
	public String text(String key, String fallback) {
		JsonNode value = value(key);
		if (value == null) {
			if (fallback == null) {
				report(key, "is missing; a string is required");
			}
			return (fallback != null) ? fallback : "";
		}
		if (!value.isString()) {
			report(key, "'" + value + "' is not a string in quotes");
			return "";
		}
		return value.stringValue();
	}

	/**
	 * Reads an integer.
	 * @param key the key, ending in its unit
	 * @param fallback the default if the key is missing; {@code null} if the key is
	 * required
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 * @return the number
	 */
	public int integer(String key, Integer fallback, int min, int max) {
		JsonNode value = value(key);
		if (value == null && fallback != null) {
			return fallback;
		}
		if (value == null) {
			report(key, "is missing; a whole number from " + min + " to " + max + " is required");
			return min;
		}
		if (!value.isIntegralNumber() || value.longValue() < min || value.longValue() > max) {
			report(key, "'" + unquoted(value) + "' is not a whole number from " + min + " to " + max
					+ "; the unit is in the key's name");
			return min;
		}
		return value.intValue();
	}

	/**
	 * Reads a boolean.
	 * @param key the key
	 * @param fallback the default if the key is missing
	 * @return the value
	 */
	public boolean bool(String key, boolean fallback) {
		JsonNode value = value(key);
		if (value == null) {
			return fallback;
		}
		if (!value.isBoolean()) {
			report(key, "'" + unquoted(value) + "' is neither true nor false");
			return fallback;
		}
		return value.booleanValue();
	}

	/**
	 * Reads a list of strings.
	 * @param key the key
	 * @param fallback the default if the key is missing; {@code null} if the key is
	 * required
	 * @return the strings in order
	 */
	public List<String> texts(String key, List<String> fallback) {
		JsonNode value = value(key);
		if (value == null) {
			if (fallback == null) {
				report(key, "is missing; a list of strings is required");
			}
			return (fallback != null) ? fallback : List.of();
		}
		if (!value.isArray()) {
			report(key, "'" + unquoted(value) + "' is not a list of strings");
			return List.of();
		}
		List<String> strings = new ArrayList<>();
		for (JsonNode element : value) {
			if (element.isString()) {
				strings.add(element.stringValue());
			}
			else {
				report(key, "'" + unquoted(element) + "' is not a string in quotes");
			}
		}
		return strings;
	}

	/**
	 * Reads the tables below a key, by name.
	 * @param key the key
	 * @return a section for each table
	 */
	public Map<String, Section> tables(String key) {
		Map<String, Section> tables = new LinkedHashMap<>();
		JsonNode value = value(key);
		if (value == null) {
			return tables;
		}
		if (!value.isObject()) {
			report(key, "'" + unquoted(value) + "' is not a group of tables [" + key + ".NAME]");
			return tables;
		}
		for (Map.Entry<String, JsonNode> entry : value.properties()) {
			tables.put(entry.getKey(),
					new Section(this.file, child(key) + "." + entry.getKey(), entry.getValue(), this.problems));
		}
		return tables;
	}

	/**
	 * Reads one table below a key.
	 * @param key the key
	 * @return its section, or {@code null} if there is none
	 */
	public Section table(String key) {
		JsonNode value = value(key);
		if (value != null && !value.isObject()) {
			report(key, "'" + unquoted(value) + "' is not a table");
			return null;
		}
		return (value != null) ? new Section(this.file, child(key), value, this.problems) : null;
	}

	/**
	 * Reports a problem at a key.
	 * @param key the key
	 * @param message the invalid value and what is allowed
	 */
	public void report(String key, String message) {
		this.problems.add(new Problem(this.file, child(key), message));
	}

	/**
	 * Reports every key that was never read, with the nearest key that was.
	 */
	public void reportUnknownKeys() {
		if (!this.node.isObject()) {
			this.problems.add(new Problem(this.file, this.path, "'" + unquoted(this.node) + "' is not a table"));
			return;
		}
		for (String key : this.node.propertyNames()) {
			if (!this.readKeys.contains(key)) {
				report(key, "is not known" + NearestMatch.hint(key, this.readKeys));
			}
		}
	}

	private JsonNode value(String key) {
		this.readKeys.add(key);
		return this.node.get(key);
	}

	private String child(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	private static String unquoted(JsonNode value) {
		return value.isString() ? value.stringValue() : value.toString();
	}

}
