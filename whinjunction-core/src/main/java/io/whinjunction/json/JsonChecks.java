package io.whinjunction.json;

import tools.jackson.databind.JsonNode;

/**
 * Checks of values that others wrote. Stateless.
 */
public final class JsonChecks {

	/** The maximum length of a name, in characters. */
	public static final int MAX_NAME_LENGTH = 256;

	private JsonChecks() {
	}

	/**
	 * Returns whether a field is not used.
	 * @param field the field
	 * @return whether it is missing or null
	 */
	public static boolean absent(JsonNode field) {
		return field.isMissingNode() || field.isNull();
	}

	/**
	 * Returns whether a field is a whole number within bounds.
	 * @param field the field
	 * @param min the smallest number that is allowed
	 * @param max the largest number that is allowed
	 * @return {@code false} also for a number with a fraction
	 */
	public static boolean within(JsonNode field, long min, long max) {
		return field.isIntegralNumber() && field.canConvertToLong() && field.longValue() >= min
				&& field.longValue() <= max;
	}

	/**
	 * Returns whether a field names something.
	 * @param field the field
	 * @return whether it is a text of at most {@link #MAX_NAME_LENGTH} characters that is
	 * not empty
	 */
	public static boolean isName(JsonNode field) {
		return field.isString() && isName(field.stringValue());
	}

	/**
	 * Returns whether a text names something.
	 * @param text the text
	 * @return whether it has at most {@link #MAX_NAME_LENGTH} characters and is not empty
	 */
	public static boolean isName(String text) {
		return !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
	}

}
