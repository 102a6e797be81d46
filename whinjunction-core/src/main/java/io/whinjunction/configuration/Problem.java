package io.whinjunction.configuration;

/**
 * One fault of a settings file, for a person. Immutable.
 *
 * @param file the file it stands in
 * @param key the full key
 * @param message the bad value, what is allowed and the nearest match
 */
public record Problem(String file, String key, String message) {

	@Override
	public String toString() {
		return this.file + ": " + this.key + ": " + this.message;
	}

}
