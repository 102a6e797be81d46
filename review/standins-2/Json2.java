/** Finds the text of a member of a JSON object without reading the rest. */
final class Json2 {

	private Json2() {
	}

	/** Returns the raw text of a member at the top level; null if there is none. */
	static String member(String object, String name) {
		int at = skipBlank(object, 0);
		if (at >= object.length() || object.charAt(at) != '{') {
			return null;
		}
		at = skipBlank(object, at + 1);
		while (at < object.length() && object.charAt(at) == '"') {
			int keyEnd = endOfValue(object, at);
			String key = object.substring(at + 1, keyEnd - 1);
			int valueAt = skipBlank(object, skipBlank(object, keyEnd) + 1);
			int valueEnd = endOfValue(object, valueAt);
			if (key.equals(name)) {
				return object.substring(valueAt, valueEnd);
			}
			at = skipBlank(object, valueEnd);
			if (at < object.length() && object.charAt(at) == ',') {
				at = skipBlank(object, at + 1);
			}
		}
		return null;
	}

	static String text(String raw) {
		return (raw == null || raw.length() < 2) ? null : raw.substring(1, raw.length() - 1);
	}

	private static int skipBlank(String text, int from) {
		int at = from;
		while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
			at++;
		}
		return at;
	}

	private static int endOfValue(String text, int from) {
		int depth = 0;
		boolean quoted = false;
		for (int at = from; at < text.length(); at++) {
			char c = text.charAt(at);
			if (quoted) {
				if (c == '\\') {
					at++;
				}
				else if (c == '"') {
					quoted = false;
					if (depth == 0) {
						return at + 1;
					}
				}
			}
			else if (c == '"') {
				quoted = true;
			}
			else if (c == '{' || c == '[') {
				depth++;
			}
			else if (c == '}' || c == ']') {
				if (depth == 0) {
					return at;
				}
				if (--depth == 0) {
					return at + 1;
				}
			}
			else if (depth == 0 && (c == ',' || Character.isWhitespace(c))) {
				return at;
			}
		}
		return text.length();
	}

}
