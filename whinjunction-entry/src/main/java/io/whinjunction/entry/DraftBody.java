package io.whinjunction.entry;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.NearestMatch;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * The validated body of a draft request. Immutable.
 *
 * @param model the name of the requested service
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens
 * @param stream whether tokens are sent as they are produced
 * @param ignored known fields that have no effect
 */
record DraftBody(String model, String prompt, int maxTokens, boolean stream, Set<String> ignored) {

	private static final int DEFAULT_TOKENS = 16;

	private static final Set<String> FIELDS = Set.of("model", "max_tokens", "stream");

	/** Engines accept no sampling settings yet; the response lists the ignored fields. */
	private static final Set<String> IGNORED = Set.of("temperature", "top_p", "seed", "user");

	/**
	 * Parses and validates a body.
	 * @param bytes the body
	 * @param chat whether the body has messages instead of a prompt
	 * @param maxPromptChars the maximum length of a prompt
	 * @param maxDraftTokens the maximum number of tokens
	 * @return the request
	 * @throws InvalidBodyException if the body is invalid, with a message for the caller
	 */
	static DraftBody parse(byte[] bytes, boolean chat, int maxPromptChars, int maxDraftTokens)
			throws InvalidBodyException {
		JsonNode node = tree(bytes);
		String textField = chat ? "messages" : "prompt";
		Set<String> ignored = new LinkedHashSet<>();
		for (String field : node.propertyNames()) {
			if (IGNORED.contains(field)) {
				ignored.add(field);
			}
			else if (!FIELDS.contains(field) && !field.equals(textField)) {
				throw new InvalidBodyException("The field '" + field + "' is not known"
						+ NearestMatch.hint(field, List.of("max_tokens", textField, "model", "stream")));
			}
		}
		String prompt = chat ? messages(node.get("messages")) : text(node, "prompt");
		if (prompt.length() > maxPromptChars) {
			throw new InvalidBodyException(
					"The prompt has " + prompt.length() + " characters; at most " + maxPromptChars + " are taken.");
		}
		JsonNode stream = node.path("stream");
		if (!stream.isMissingNode() && !stream.isBoolean()) {
			throw new InvalidBodyException("'stream' is '" + stream + "'; true or false are taken.");
		}
		return new DraftBody(text(node, "model"), prompt, maxTokens(node, maxDraftTokens), stream.asBoolean(false),
				ignored);
	}

	private static JsonNode tree(byte[] bytes) throws InvalidBodyException {
		try {
			String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
			JsonNode node = Json.MAPPER.readTree(text);
			if (!node.isObject()) {
				throw new InvalidBodyException("The body is not a JSON object.");
			}
			return node;
		}
		catch (CharacterCodingException ex) {
			throw new InvalidBodyException("The body is not valid UTF-8.");
		}
		catch (JacksonException ex) {
			// The message of the library would quote the caller's data, so only the
			// position is reported.
			String position = (ex.getLocation() != null)
					? " at line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr() : "";
			throw new InvalidBodyException(
					"The body is not JSON, or is nested deeper than " + Json.MAX_DEPTH + position + ".");
		}
	}

	private static String text(JsonNode node, String field) throws InvalidBodyException {
		JsonNode value = node.path(field);
		if (!value.isString() || value.stringValue().isEmpty()) {
			throw new InvalidBodyException("'" + field + "' has to be a text that is not empty.");
		}
		return value.stringValue();
	}

	private static String messages(JsonNode messages) throws InvalidBodyException {
		if (messages == null || !messages.isArray() || messages.isEmpty()) {
			throw new InvalidBodyException("'messages' has to be a list that is not empty.");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(text(message, "role")).append(": ").append(text(message, "content")).append('\n');
		}
		return prompt.toString();
	}

	private static int maxTokens(JsonNode node, int max) throws InvalidBodyException {
		JsonNode value = node.path("max_tokens");
		if (value.isMissingNode()) {
			return Math.min(DEFAULT_TOKENS, max);
		}
		if (!value.isIntegralNumber() || value.longValue() < 1 || value.longValue() > max) {
			throw new InvalidBodyException(
					"'max_tokens' is '" + value + "'; a whole number from 1 to " + max + " is taken.");
		}
		return value.intValue();
	}

	/**
	 * Indicates an invalid body; the message is sent to the caller.
	 */
	static final class InvalidBodyException extends Exception {

		InvalidBodyException(String message) {
			super(message);
		}

	}

}
