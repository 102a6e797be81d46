package io.whinjunction.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import tools.jackson.databind.JsonNode;

/**
 * Compares two configuration documents key by key. Stateless.
 */
final class DocumentDiff {

	private DocumentDiff() {
	}

	static List<String> lines(JsonNode from, JsonNode to) {
		Map<String, String> old = new TreeMap<>();
		Map<String, String> current = new TreeMap<>();
		flatten("", from, old);
		flatten("", to, current);
		TreeSet<String> keys = new TreeSet<>(old.keySet());
		keys.addAll(current.keySet());
		List<String> lines = new ArrayList<>();
		for (String key : keys) {
			String before = old.get(key);
			String after = current.get(key);
			if (before == null) {
				lines.add("+ " + key + " = " + after);
			}
			else if (after == null) {
				lines.add("- " + key + " = " + before);
			}
			else if (!before.equals(after)) {
				lines.add("~ " + key + ": " + before + " -> " + after);
			}
		}
		return lines;
	}

	private static void flatten(String path, JsonNode node, Map<String, String> into) {
		if (node == null || !node.isObject()) {
			if (node != null) {
				into.put(path, node.toString());
			}
			return;
		}
		for (Map.Entry<String, JsonNode> entry : node.properties()) {
			flatten(path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(), entry.getValue(), into);
		}
	}

}
