package io.whinjunction.log;

import java.time.Instant;

/**
 * Writes the times of log lines, in milliseconds.
 * <p>
 * Formatting a time costs more than the rest of a line. All but its milliseconds is kept
 * from one line to the next, and formatted again only in another second. Safe for all
 * threads: what is kept is replaced as a whole.
 */
final class TimestampFormatter {

	private static final int NS_PER_MS = 1_000_000;

	private volatile Second kept = Second.of(0);

	/**
	 * Appends a time.
	 * @param line where to
	 * @param instant the time
	 */
	void append(StringBuilder line, Instant instant) {
		Second second = this.kept;
		if (second.epochSecond() != instant.getEpochSecond()) {
			second = Second.of(instant.getEpochSecond());
			this.kept = second;
		}
		int ms = instant.getNano() / NS_PER_MS;
		line.append(second.text()).append('.');
		line.append((char) ('0' + ms / 100)).append((char) ('0' + ms / 10 % 10)).append((char) ('0' + ms % 10));
		line.append('Z');
	}

	/**
	 * The text of a second. Immutable.
	 *
	 * @param epochSecond the second, since 1970
	 * @param text date and time without a fraction
	 */
	private record Second(long epochSecond, String text) {

		static Second of(long epochSecond) {
			String text = Instant.ofEpochSecond(epochSecond).toString();
			return new Second(epochSecond, text.substring(0, text.length() - 1));
		}

	}

}
