package io.whinjunction.configuration;

import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * The configuration as it stands in the object API: one object under {@link #KEY}, so
 * that a change is whole or not at all. Immutable.
 *
 * @param revision goes up by one with each accepted change
 * @param document the merged document
 * @param nonce the writer's own mark, by which it knows its write again when the reply
 * was lost
 */
public record Manifest(long revision, JsonNode document, String nonce) {

	/** The object's key. */
	public static final String KEY = "configuration/manifest";

	/**
	 * The stored form.
	 * @return the JSON text
	 */
	public String toJson() {
		ObjectNode node = Json.object();
		node.put("revision", this.revision);
		node.put("nonce", this.nonce);
		node.set("document", this.document);
		return node.toString();
	}

	/**
	 * Reads the stored form.
	 * @param json the stored form
	 * @return the manifest, or {@code null} where it is none
	 */
	public static Manifest parse(String json) {
		try {
			JsonNode node = Json.MAPPER.readTree(json);
			if (!node.path("revision").isIntegralNumber() || !node.path("document").isObject()) {
				return null;
			}
			return new Manifest(node.get("revision").longValue(), node.get("document"),
					node.path("nonce").asString(""));
		}
		catch (JacksonException ex) {
			return null;
		}
	}

}
