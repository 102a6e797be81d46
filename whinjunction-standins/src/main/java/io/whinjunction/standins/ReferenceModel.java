package io.whinjunction.standins;

import java.util.ArrayList;
import java.util.List;

/**
 * The arithmetic of the stand-in model: a token depends on the prompt, on every earlier
 * token and on each layer passed in order, so that a skipped, repeated or crossed layer
 * gives another answer. Stateless.
 */
public final class ReferenceModel {

	private static final long GOLDEN = 0x9E3779B97F4A7C15L;

	private static final String[] SYLLABLES = { "ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa", "te",
			"vi", "xo", "zu", "quo" };

	private ReferenceModel() {
	}

	/**
	 * The first layer's input for a text.
	 * @param text the prompt or a token
	 * @return its embedding
	 */
	public static long embed(String text) {
		long value = GOLDEN;
		for (int i = 0; i < text.length(); i++) {
			value = mix(value, text.charAt(i));
		}
		return value;
	}

	/**
	 * One layer for one position.
	 * @param layer the layer
	 * @param activation the activation below it
	 * @param cache what the layer kept of earlier positions
	 * @return the activation above it
	 */
	public static long layer(int layer, long activation, long cache) {
		return mix(mix(activation, layer + 1), cache);
	}

	/**
	 * The token that an activation above the last layer stands for.
	 * @param activation the activation
	 * @return the token, with a leading space
	 */
	public static String token(long activation) {
		StringBuilder token = new StringBuilder(" ");
		for (int i = 0; i < 3; i++) {
			token.append(SYLLABLES[(int) ((activation >>> (8 * i)) & 15)]);
		}
		return token.toString();
	}

	/**
	 * What a correct draft is.
	 * @param prompt the prompt
	 * @param layerCount the model's layers
	 * @param count how many tokens
	 * @return the tokens
	 */
	public static List<String> draft(String prompt, int layerCount, int count) {
		long[] caches = new long[layerCount];
		List<String> tokens = new ArrayList<>();
		String input = prompt;
		for (int i = 0; i < count; i++) {
			long activation = embed(input);
			for (int layer = 0; layer < layerCount; layer++) {
				activation = layer(layer, activation, caches[layer]);
				caches[layer] = updateCache(caches[layer], activation);
			}
			input = token(activation);
			tokens.add(input);
		}
		return tokens;
	}

	static long updateCache(long cache, long activation) {
		return mix(cache, activation);
	}

	private static long mix(long left, long right) {
		long value = (left ^ (right * GOLDEN)) + GOLDEN;
		value = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
		value = (value ^ (value >>> 27)) * 0x94D049BB133111EBL;
		return value ^ (value >>> 31);
	}

}
