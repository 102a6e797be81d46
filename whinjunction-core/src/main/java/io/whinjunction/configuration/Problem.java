package io.whinjunction.configuration;

/**
 * A problem in a settings file, reported to an operator. Immutable.
 *
 * @param file the file that contains it
 * @param key the full key
 * @param message the invalid value, what is allowed and the nearest match
 */
public record Problem(String file, String key, String message) {

	@Override
	public String toString() {
		return this.file + ": " + this.key + ": " + this.message;
	}

}
