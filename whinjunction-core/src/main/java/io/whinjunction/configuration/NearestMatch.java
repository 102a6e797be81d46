package io.whinjunction.configuration;

import java.util.Collection;

/**
 * Suggests the allowed word nearest to a misspelled one. Stateless.
 */
public final class NearestMatch {

	private NearestMatch() {
	}

	/**
	 * Returns a hint to append to an error message.
	 * @param word the unknown word
	 * @param allowed the allowed words
	 * @return for example {@code ; did you mean 'places'? allowed: places, teams}
	 */
	public static String hint(String word, Collection<String> allowed) {
		String nearest = null;
		int minDistance = Math.max(2, word.length() / 2);
		for (String candidate : allowed) {
			int distance = distance(word, candidate);
			if (distance <= minDistance) {
				minDistance = distance;
				nearest = candidate;
			}
		}
		String suggestion = (nearest != null) ? "; did you mean '" + nearest + "'?" : ";";
		return suggestion + " allowed: " + String.join(", ", allowed);
	}

	private static int distance(String left, String right) {
		int[] previous = new int[right.length() + 1];
		for (int j = 0; j <= right.length(); j++) {
			previous[j] = j;
		}
		for (int i = 1; i <= left.length(); i++) {
			int[] current = new int[right.length() + 1];
			current[0] = i;
			for (int j = 1; j <= right.length(); j++) {
				int substitution = previous[j - 1] + ((left.charAt(i - 1) != right.charAt(j - 1)) ? 1 : 0);
				current[j] = Math.min(substitution, 1 + Math.min(previous[j], current[j - 1]));
			}
			previous = current;
		}
		return previous[right.length()];
	}

}
