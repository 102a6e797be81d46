package io.whinjunction.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import tools.jackson.databind.JsonNode;

/**
 * One table of a settings file, read with checks.
 * <p>
 * Invariant: every fault is added to one shared list and a usable default is returned, so
 * that a reader meets all faults in one pass; {@link #reportUnknownKeys()} reports keys that nobody
 * asked for. Confined to one thread.
 */
public final class Section {

	private final String file;

	private final String path;

	private final JsonNode node;

	private final List<Problem> problems;

	private final Set<String> asked = new LinkedHashSet<>();

	Section(String file, String path, JsonNode node, List<Problem> problems) {
		this.file = file;
		this.path = path;
		this.node = node;
		this.problems = problems;
	}

	/**
	 * Opens the outermost table.
	 * @param file the name to give in messages
	 * @param node the table
	 * @param problems where faults go
	 * @return the section
	 */
	public static Section root(String file, JsonNode node, List<Problem> problems) {
		return new Section(file, "", node, problems);
	}

	/**
	 * A text.
	 * @param key the key
	 * @param fallback what is taken where the key is missing; {@code null}: required
	 * @return the text, {@code ""} where it is missing and required
	 */
	public String text(String key, String fallback) {
		JsonNode value = value(key);
		if (value == null) {
			if (fallback == null) {
				report(key, "is missing; a text is required");
			}
			return (fallback != null) ? fallback : "";
		}
		if (!value.isString()) {
			report(key, "'" + value + "' is not a text in quotes");
			return "";
		}
		return value.stringValue();
	}

	/**
	 * A whole number.
	 * @param key the key, ending in its unit
	 * @param fallback what is taken where the key is missing; {@code null}: required
	 * @param min the least allowed
	 * @param max the most allowed
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
			report(key, "'" + plain(value) + "' is not a whole number from " + min + " to " + max
					+ "; the unit is in the key's name");
			return min;
		}
		return value.intValue();
	}

	/**
	 * A truth value.
	 * @param key the key
	 * @param fallback what is taken where the key is missing
	 * @return the value
	 */
	public boolean bool(String key, boolean fallback) {
		JsonNode value = value(key);
		if (value == null) {
			return fallback;
		}
		if (!value.isBoolean()) {
			report(key, "'" + plain(value) + "' is neither true nor false");
			return fallback;
		}
		return value.booleanValue();
	}

	/**
	 * A list of texts.
	 * @param key the key
	 * @param fallback what is taken where the key is missing; {@code null}: required
	 * @return the texts in order
	 */
	public List<String> texts(String key, List<String> fallback) {
		JsonNode value = value(key);
		if (value == null) {
			if (fallback == null) {
				report(key, "is missing; a list of texts is required");
			}
			return (fallback != null) ? fallback : List.of();
		}
		if (!value.isArray()) {
			report(key, "'" + plain(value) + "' is not a list of texts");
			return List.of();
		}
		List<String> texts = new ArrayList<>();
		for (JsonNode element : value) {
			if (element.isString()) {
				texts.add(element.stringValue());
			}
			else {
				report(key, "'" + plain(element) + "' is not a text in quotes");
			}
		}
		return texts;
	}

	/**
	 * The tables below a key, by name.
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
			report(key, "'" + plain(value) + "' is not a group of tables [" + key + ".NAME]");
			return tables;
		}
		for (Map.Entry<String, JsonNode> entry : value.properties()) {
			tables.put(entry.getKey(),
					new Section(this.file, child(key) + "." + entry.getKey(), entry.getValue(), this.problems));
		}
		return tables;
	}

	/**
	 * One table below a key.
	 * @param key the key
	 * @return its section, or {@code null} where there is none
	 */
	public Section table(String key) {
		JsonNode value = value(key);
		if (value != null && !value.isObject()) {
			report(key, "'" + plain(value) + "' is not a table");
			return null;
		}
		return (value != null) ? new Section(this.file, child(key), value, this.problems) : null;
	}

	/**
	 * Reports a fault at a key.
	 * @param key the key
	 * @param message what is wrong and what is allowed
	 */
	public void report(String key, String message) {
		this.problems.add(new Problem(this.file, child(key), message));
	}

	/**
	 * Reports every key that was never asked for, with the nearest one that was.
	 */
	public void reportUnknownKeys() {
		if (!this.node.isObject()) {
			this.problems.add(new Problem(this.file, this.path, "'" + plain(this.node) + "' is not a table"));
			return;
		}
		for (String key : this.node.propertyNames()) {
			if (!this.asked.contains(key)) {
				report(key, "is not known" + NearestMatch.hint(key, this.asked));
			}
		}
	}

	private JsonNode value(String key) {
		this.asked.add(key);
		return this.node.get(key);
	}

	private String child(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	private static String plain(JsonNode value) {
		return value.isString() ? value.stringValue() : value.toString();
	}

}
