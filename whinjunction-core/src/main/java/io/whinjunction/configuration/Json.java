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
	public static final JsonMapper MAPPER = limited(StreamReadConstraints.builder());

	private Json() {
	}

	/**
	 * Creates a mapper that also limits what a value takes in memory: by its number of
	 * parts.
	 * @param maxTokens the maximum number of brackets, names and plain values
	 * @return a new mapper
	 */
	public static JsonMapper ofTokens(long maxTokens) {
		return limited(StreamReadConstraints.builder().maxTokenCount(maxTokens));
	}

	private static JsonMapper limited(StreamReadConstraints.Builder limits) {
		return JsonMapper
			.builder(JsonFactory.builder().streamReadConstraints(limits.maxNestingDepth(MAX_DEPTH).build()).build())
			.build();
	}

	/**
	 * Creates an empty object.
	 * @return a new node
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

}
