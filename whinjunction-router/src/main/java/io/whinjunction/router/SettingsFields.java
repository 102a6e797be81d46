package io.whinjunction.router;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import tools.jackson.databind.JsonNode;

/**
 * Reads and checks fields of a settings file, and collects the problems. Not thread-safe.
 */
public final class SettingsFields {

	private final JsonNode root;

	private final List<String> problems = new ArrayList<>();

	/**
	 * Creates a reader.
	 * @param root the content of the file
	 */
	public SettingsFields(JsonNode root) {
		this.root = root;
	}

	/**
	 * Returns the problems that were found so far.
	 * @return one sentence for each problem
	 */
	public List<String> problems() {
		return List.copyOf(this.problems);
	}

	/**
	 * Reads a required text.
	 * @param name the name of the field
	 * @return the text; empty if there is none, which is a problem
	 */
	public String text(String name) {
		JsonNode node = this.root.path(name);
		if (!node.isString() || node.asString().isEmpty()) {
			this.problems.add(name + ": a text is required, but there is " + node);
			return "";
		}
		return node.asString();
	}

	/**
	 * Reads a required address.
	 * @param table the name of the table
	 * @param name the name of the field
	 * @return the address; {@code null} if there is none, which is a problem
	 */
	public InetSocketAddress address(String table, String name) {
		return parse(table + "." + name, this.root.path(table).path(name).asString(""));
	}

	/**
	 * Parses an address.
	 * @param field where the text stands
	 * @param text the text
	 * @return the address; {@code null} if the text is none, which is a problem
	 */
	public InetSocketAddress parse(String field, String text) {
		if (Addresses.valid(text)) {
			return Addresses.parse(text);
		}
		this.problems.add(field + ": IP:PORT with an IPv4 address and a port from 1 to 65535 is required, "
				+ "but there is '" + text + "'");
		return null;
	}

	/**
	 * Reads a number of at least 0.
	 * @param table the name of the table
	 * @param name the name of the field
	 * @param defaultValue the value of a field that is missing, or invalid, which is a
	 * problem
	 * @return the number
	 */
	public double number(String table, String name, double defaultValue) {
		JsonNode node = this.root.path(table).path(name);
		if (node.isMissingNode()) {
			return defaultValue;
		}
		if (!node.isNumber() || node.asDouble() < 0) {
			this.problems.add(table + "." + name + ": a number of at least 0 is required, but there is " + node);
			return defaultValue;
		}
		return node.asDouble();
	}

}
