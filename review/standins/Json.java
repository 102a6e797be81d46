package standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON as maps, lists, strings, longs, doubles and booleans. Stateless.
 */
public final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	public static Object parse(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	public static Map<String, Object> object(Object value) {
		return (value instanceof Map) ? (Map<String, Object>) value : new LinkedHashMap<>();
	}

	/** Creates an object from names and values in turn. */
	public static Map<String, Object> of(Object... pairs) {
		Map<String, Object> object = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			object.put((String) pairs[i], pairs[i + 1]);
		}
		return object;
	}

	public static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		switch (value) {
			case null -> out.append("null");
			case String string -> {
				out.append('"');
				for (char c : string.toCharArray()) {
					switch (c) {
						case '"' -> out.append("\\\"");
						case '\\' -> out.append("\\\\");
						case '\n' -> out.append("\\n");
						default -> out.append(c);
					}
				}
				out.append('"');
			}
			case Map<?, ?> map -> {
				String separator = "{";
				for (Map.Entry<?, ?> entry : map.entrySet()) {
					out.append(separator);
					write(entry.getKey(), out);
					out.append(':');
					write(entry.getValue(), out);
					separator = ",";
				}
				out.append(map.isEmpty() ? "{}" : "}");
			}
			case List<?> list -> {
				String separator = "[";
				for (Object item : list) {
					out.append(separator);
					write(item, out);
					separator = ",";
				}
				out.append(list.isEmpty() ? "[]" : "]");
			}
			default -> out.append(value);
		}
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		switch (next()) {
			case '{' -> {
				Map<String, Object> object = new LinkedHashMap<>();
				this.at++;
				while (next() != '}') {
					String name = string();
					next();
					this.at++;
					object.put(name, value());
					if (next() == ',') {
						this.at++;
					}
				}
				this.at++;
				return object;
			}
			case '[' -> {
				List<Object> list = new ArrayList<>();
				this.at++;
				while (next() != ']') {
					list.add(value());
					if (next() == ',') {
						this.at++;
					}
				}
				this.at++;
				return list;
			}
			case '"' -> {
				return string();
			}
			default -> {
				int start = this.at;
				while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
					this.at++;
				}
				String word = this.text.substring(start, this.at);
				return switch (word) {
					case "true" -> true;
					case "false" -> false;
					case "null" -> null;
					default -> number(word);
				};
			}
		}
	}

	private static Object number(String word) {
		if (word.matches("-?\\d+")) {
			return Long.valueOf(word);
		}
		return Double.valueOf(word);
	}

	private String string() {
		next();
		this.at++;
		StringBuilder out = new StringBuilder();
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				char escaped = this.text.charAt(this.at++);
				switch (escaped) {
					case 'n' -> out.append('\n');
					case 't' -> out.append('\t');
					case 'r' -> out.append('\r');
					case 'u' -> {
						out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> out.append(escaped);
				}
			}
			else {
				out.append(c);
			}
		}
		this.at++;
		return out.toString();
	}

}
