package io.whinjunction.json;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.configuration.Json;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.MissingNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * A value in a JSON text of which only the bounds are known.
 * <p>
 * Guards against a value that makes the values beside it unreadable, or that takes more
 * memory than the process has. The library's parser keeps an object for each level of
 * nesting, also of a value that it skips, and can't continue behind a value that exceeds
 * its limits. The bounds of a value are found in constant memory whatever it contains, so
 * that each value can be parsed on its own, within limits that apply to it alone.
 * <p>
 * Invariant: a slice lies within its text and begins and ends with a value; what is
 * between is checked only by {@link #parse}. Immutable as long as nobody changes the
 * text, which is not copied.
 */
public final class JsonSlice {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final byte[] text;

	private final int from;

	private final int end;

	private JsonSlice(byte[] text, int from, int end) {
		this.text = text;
		this.from = from;
		this.end = end;
	}

	/**
	 * Finds the value of a text.
	 * @param text the text, in UTF-8
	 * @return the value
	 * @throws IllegalArgumentException if the text is not one value
	 */
	public static JsonSlice of(byte[] text) {
		Scanner scanner = new Scanner(text, 0, text.length);
		JsonSlice value = scanner.value();
		scanner.blanks();
		if (!scanner.atEnd()) {
			throw scanner.invalid("nothing more");
		}
		return value;
	}

	/**
	 * Finds members of an object in one pass.
	 * @param names the names to look for, as they are written in the text
	 * @return the values by name, without those that the object lacks; the last one of a
	 * name that occurs several times; nothing for a value that is no object
	 * @throws IllegalArgumentException if the object is not well-formed
	 */
	public Map<String, JsonSlice> members(Set<String> names) {
		Map<String, JsonSlice> found = new HashMap<>();
		if (this.text[this.from] == '{') {
			new Scanner(this.text, this.from, this.end).members((name, value) -> {
				// No name that is looked for is so long.
				if (name.length() <= Scanner.MAX_NAME_BYTES) {
					String written = name.written();
					if (names.contains(written)) {
						found.put(written, value);
					}
				}
			});
		}
		return found;
	}

	/**
	 * Visits the elements of an array in their order.
	 * @param visitor receives each element; none for a value that is no array
	 * @throws IllegalArgumentException if the array is not well-formed
	 */
	public void forEachElement(Consumer<JsonSlice> visitor) {
		if (this.text[this.from] == '[') {
			new Scanner(this.text, this.from, this.end).elements(visitor);
		}
	}

	/**
	 * Parses the value.
	 * @param mapper decides on the limits
	 * @return the value
	 * @throws JacksonException if the value is not valid or exceeds the limits
	 */
	public JsonNode parse(JsonMapper mapper) {
		return mapper.readTree(this.text, this.from, length());
	}

	/**
	 * Parses members of an object.
	 * @param names the names of the members
	 * @param mapper decides on the limits of each of them
	 * @return the members that the object has
	 * @throws IllegalArgumentException if the object is not well-formed
	 * @throws JacksonException if a member is not valid or exceeds the limits
	 */
	public ObjectNode parseMembers(Set<String> names, JsonMapper mapper) {
		ObjectNode parsed = Json.object();
		members(names).forEach((name, member) -> parsed.set(name, member.parse(mapper)));
		return parsed;
	}

	/**
	 * Parses those members of an object that can be read.
	 * @param names the names of the members
	 * @param mapper decides on the limits of each of them
	 * @return the members, without those that are not valid or exceed the limits; none if
	 * the object is not well-formed
	 */
	public ObjectNode parseReadableMembers(Set<String> names, JsonMapper mapper) {
		// Nearly all objects are valid as a whole, which is faster.
		if (parseWhole(mapper) instanceof ObjectNode object) {
			return object.retain(names);
		}
		ObjectNode parsed = Json.object();
		readableMembers(names).forEach((name, member) -> {
			try {
				parsed.set(name, member.parse(mapper));
			}
			catch (JacksonException ex) {
				logger.atFine().log("event=member-unreadable name=%s reason=\"%s\"", name, ex.getOriginalMessage());
			}
		});
		return parsed;
	}

	private JsonNode parseWhole(JsonMapper mapper) {
		try {
			return parse(mapper);
		}
		catch (JacksonException ex) {
			logger.atFine().log("event=object-not-whole reason=\"%s\"", ex.getOriginalMessage());
			return MissingNode.getInstance();
		}
	}

	/**
	 * Finds members of an object, as {@link #members}.
	 * @param names the names to look for
	 * @return the values by name; none if the object is not well-formed
	 */
	public Map<String, JsonSlice> readableMembers(Set<String> names) {
		try {
			return members(names);
		}
		catch (IllegalArgumentException ex) {
			logger.atFine().log("event=object-unreadable reason=\"%s\"", ex.getMessage());
			return Map.of();
		}
	}

	private int length() {
		return this.end - this.from;
	}

	// Without the quotes; escapes stay as they are.
	private String written() {
		return new String(this.text, this.from + 1, length() - 2, StandardCharsets.UTF_8);
	}

	/** Finds the bounds of values. Confined to its caller. */
	private static final class Scanner {

		static final int MAX_NAME_BYTES = 64;

		private final byte[] text;

		private final int end;

		private int at;

		Scanner(byte[] text, int from, int end) {
			this.text = text;
			this.at = from;
			this.end = end;
		}

		boolean atEnd() {
			return this.at == this.end;
		}

		void members(BiConsumer<JsonSlice, JsonSlice> visitor) {
			list('}', () -> {
				JsonSlice name = value();
				if (name.text[name.from] != '"') {
					throw invalid("a name");
				}
				expect(':');
				visitor.accept(name, value());
			});
		}

		void elements(Consumer<JsonSlice> visitor) {
			list(']', () -> visitor.accept(value()));
		}

		private void list(char close, Runnable item) {
			this.at++;
			blanks();
			if (next() == close) {
				this.at++;
				return;
			}
			item.run();
			blanks();
			while (next() == ',') {
				this.at++;
				item.run();
				blanks();
			}
			expect(close);
		}

		JsonSlice value() {
			blanks();
			int from = this.at;
			switch (next()) {
				case '"' -> this.at = endOfString(from);
				case '{', '[' -> nested();
				default -> plain();
			}
			return new JsonSlice(this.text, from, this.at);
		}

		// Whether an opening bracket is closed by one of its own kind is checked when the
		// value is parsed.
		private void nested() {
			int depth = 0;
			int position = this.at;
			while (position < this.end) {
				byte character = this.text[position];
				if (character == '"') {
					position = endOfString(position);
					continue;
				}
				position++;
				if (character == '{' || character == '[') {
					depth++;
				}
				else if ((character == '}' || character == ']') && --depth == 0) {
					break;
				}
			}
			this.at = position;
			if (depth > 0) {
				throw invalid("more");
			}
		}

		private int endOfString(int from) {
			int position = from + 1;
			while (position < this.end && this.text[position] != '"') {
				position += (this.text[position] == '\\') ? 2 : 1;
			}
			if (position >= this.end) {
				this.at = this.end;
				throw invalid("more");
			}
			return position + 1;
		}

		private void plain() {
			int from = this.at;
			while (this.at < this.end && isPlain(this.text[this.at])) {
				this.at++;
			}
			if (this.at == from) {
				throw invalid("a value");
			}
		}

		private static boolean isPlain(byte character) {
			return switch (character) {
				case ',', ':', ']', '}', '[', '{', '"' -> false;
				default -> !isBlank(character);
			};
		}

		private static boolean isBlank(byte character) {
			return character == ' ' || character == '\n' || character == '\r' || character == '\t';
		}

		void blanks() {
			while (this.at < this.end && isBlank(this.text[this.at])) {
				this.at++;
			}
		}

		private void expect(char expected) {
			blanks();
			if (next() != expected) {
				throw invalid("'" + expected + "'");
			}
			this.at++;
		}

		private byte next() {
			if (this.at >= this.end) {
				throw invalid("more");
			}
			return this.text[this.at];
		}

		IllegalArgumentException invalid(String expected) {
			String found = (this.at < this.end) ? "'" + (char) this.text[this.at] + "'" : "the end";
			return new IllegalArgumentException(
					"no JSON: " + found + " at byte " + this.at + ", where " + expected + " is expected");
		}

	}

}
