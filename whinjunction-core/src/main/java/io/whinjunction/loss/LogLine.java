package io.whinjunction.loss;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A structured line of a router's log. Immutable.
 *
 * @param fields the values by key, without quotes
 */
record LogLine(Map<String, String> fields) {

	private static final Pattern FIELD = Pattern.compile("([a-z][a-z-]*)=(?:\"([^\"]*)\"|(\\S+))");

	LogLine {
		fields = Map.copyOf(fields);
	}

	/**
	 * Parses a line.
	 * @param text the line, including any prefix added by a log collector
	 * @return the parsed line, or empty if it contains no event
	 */
	static Optional<LogLine> parse(String text) {
		if (!text.contains("event=")) {
			return Optional.empty();
		}
		Map<String, String> fields = new HashMap<>();
		Matcher matcher = FIELD.matcher(text);
		while (matcher.find()) {
			fields.putIfAbsent(matcher.group(1), (matcher.group(2) != null) ? matcher.group(2) : matcher.group(3));
		}
		return fields.containsKey("event") ? Optional.of(new LogLine(fields)) : Optional.empty();
	}

	String text(String key) {
		return this.fields.getOrDefault(key, "");
	}

	/**
	 * Returns a field as a number.
	 * @param key the field
	 * @return its value, or -1 if it is missing or not a number
	 */
	long number(String key) {
		try {
			return Long.parseLong(text(key));
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

}
