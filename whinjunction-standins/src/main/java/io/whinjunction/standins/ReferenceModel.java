package io.whinjunction.standins;

import java.util.ArrayList;
import java.util.List;

/**
 * The arithmetic of the stand-in model. A token depends on the prompt, on every earlier
 * token and on each layer applied in order, so that a skipped, repeated or swapped layer
 * produces a different draft. Stateless.
 */
public final class ReferenceModel {

	/** 2^64 divided by the golden ratio, as in the SplitMix64 generator. */
	private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

	private static final String[] SYLLABLES = { "ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa", "te",
			"vi", "xo", "zu", "quo" };

	private ReferenceModel() {
	}

	/**
	 * Returns the input of the first layer for a text.
	 * @param text the prompt or a token
	 * @return the embedding
	 */
	public static long embed(String text) {
		long value = GOLDEN_GAMMA;
		for (int i = 0; i < text.length(); i++) {
			value = mix(value, text.charAt(i));
		}
		return value;
	}

	/**
	 * Computes one layer for one position.
	 * @param layer the layer's index
	 * @param activation the input activation
	 * @param cache the layer's cache of earlier positions
	 * @return the output activation
	 */
	public static long layer(int layer, long activation, long cache) {
		return mix(mix(activation, layer + 1), cache);
	}

	/**
	 * Returns the token for an output activation of the last layer.
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
	 * Computes the correct draft for a prompt.
	 * @param prompt the prompt
	 * @param layerCount the number of the model's layers
	 * @param count the number of tokens
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
		long value = (left ^ (right * GOLDEN_GAMMA)) + GOLDEN_GAMMA;
		value = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
		value = (value ^ (value >>> 27)) * 0x94D049BB133111EBL;
		return value ^ (value >>> 31);
	}

}
