package io.whinjunction.configuration;

import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * The configuration as stored in the object API: one object under {@link #KEY}, so that a
 * change is atomic. Immutable.
 *
 * @param revision the revision; incremented by one with each accepted change
 * @param document the merged document
 * @param nonce a value unique to the writer, by which it recognizes its own write after
 * the response was lost
 */
public record Manifest(long revision, JsonNode document, String nonce) {

	/** The object's key. */
	public static final String KEY = "configuration/manifest";

	/**
	 * Returns the stored form.
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
	 * Parses the stored form.
	 * @param json the JSON text
	 * @return the manifest, or {@code null} if the text is not a manifest
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
