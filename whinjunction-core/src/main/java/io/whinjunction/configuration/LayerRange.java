package io.whinjunction.configuration;

/**
 * A range of consecutive layers of a model. Immutable.
 *
 * @param first the first layer, counted from 0
 * @param end one past the last layer
 */
public record LayerRange(int first, int end) implements Comparable<LayerRange> {

	public LayerRange {
		if (first < 0 || end <= first) {
			throw new IllegalArgumentException("layers " + first + "-" + end + " are not a range");
		}
	}

	/**
	 * Parses a range of the form {@code FIRST-END}, for example {@code 0-8} for layers 0
	 * to 7.
	 * @param text the text form of the range
	 * @return the range
	 * @throws IllegalArgumentException if the text is not a range
	 */
	public static LayerRange parse(String text) {
		String[] parts = text.split("-", -1);
		if (parts.length != 2) {
			throw new IllegalArgumentException("'" + text + "' is not FIRST-END");
		}
		return new LayerRange(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
	}

	@Override
	public int compareTo(LayerRange other) {
		return Integer.compare(this.first, other.first);
	}

	@Override
	public String toString() {
		return this.first + "-" + this.end;
	}

}
