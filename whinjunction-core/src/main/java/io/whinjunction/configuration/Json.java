package io.whinjunction.configuration;

import tools.jackson.core.StreamReadConstraints;
import tools.jackson.core.json.JsonFactory;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ObjectNode;

/**
 * The shared JSON mapper, with limits on untrusted input. Thread-safe.
 */
public final class Json {

	/** Deeper nesting is refused as a bad request. */
	public static final int MAX_DEPTH = 32;

	/** The mapper. */
	public static final JsonMapper MAPPER = JsonMapper
		.builder(JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
			.build())
		.build();

	private Json() {
	}

	/**
	 * Creates an empty object.
	 * @return a new node
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

}
