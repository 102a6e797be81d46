package io.whinjunction.once;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

import io.whinjunction.configuration.Json;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * A claim as stored in the object API. Immutable.
 *
 * @param nonce the unique value by which its holder recognises it
 * @param bodyHash the hash of the body to send
 * @param createdAtS when it was last written, in seconds since the epoch; used only for
 * its removal
 * @param answer the answer, or {@code null} while there is none
 */
record ClaimRecord(String nonce, String bodyHash, long createdAtS, StoredAnswer answer) {

	String toJson() {
		ObjectNode node = Json.object();
		node.put("nonce", this.nonce);
		node.put("body-hash", this.bodyHash);
		node.put("created-at-s", this.createdAtS);
		if (this.answer != null) {
			node.put("status", this.answer.status());
			ArrayNode headers = node.putArray("headers");
			for (Map.Entry<String, String> header : this.answer.headers()) {
				headers.addArray().add(header.getKey()).add(header.getValue());
			}
			node.put("body", Base64.getEncoder().encodeToString(this.answer.body()));
		}
		return node.toString();
	}

	static ClaimRecord parse(String json) {
		try {
			JsonNode node = Json.MAPPER.readTree(json);
			return new ClaimRecord(node.path("nonce").asString(""), node.path("body-hash").asString(""),
					node.path("created-at-s").asLong(0), answer(node));
		}
		catch (JacksonException ex) {
			// Unreadable: treated as a claim of another process without an answer.
			return new ClaimRecord("", "", 0, null);
		}
	}

	private static StoredAnswer answer(JsonNode node) {
		if (!node.has("status")) {
			return null;
		}
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		for (JsonNode header : node.path("headers")) {
			headers.add(Map.entry(header.path(0).asString(""), header.path(1).asString("")));
		}
		return new StoredAnswer(node.get("status").asInt(), headers,
				Base64.getDecoder().decode(node.path("body").asString("")));
	}

}
