package io.whinjunction.log;

import java.time.Instant;

/**
 * Formats the timestamps of log lines, with milliseconds.
 * <p>
 * Formatting a timestamp costs more than the rest of a line. The text up to the second is
 * therefore cached and formatted again only when the second changes. Thread-safe: the
 * cached value is replaced as a whole.
 */
final class TimestampFormatter {

	private static final int NS_PER_MS = 1_000_000;

	private volatile Second cached = Second.of(0);

	/**
	 * Appends a timestamp to a line.
	 * @param line the line
	 * @param instant the time
	 */
	void append(StringBuilder line, Instant instant) {
		Second second = this.cached;
		if (second.epochSecond() != instant.getEpochSecond()) {
			second = Second.of(instant.getEpochSecond());
			this.cached = second;
		}
		int ms = instant.getNano() / NS_PER_MS;
		line.append(second.text()).append('.');
		line.append((char) ('0' + ms / 100)).append((char) ('0' + ms / 10 % 10)).append((char) ('0' + ms % 10));
		line.append('Z');
	}

	/**
	 * The text of one second. Immutable.
	 *
	 * @param epochSecond the seconds since 1970
	 * @param text date and time without a fraction
	 */
	private record Second(long epochSecond, String text) {

		static Second of(long epochSecond) {
			String text = Instant.ofEpochSecond(epochSecond).toString();
			return new Second(epochSecond, text.substring(0, text.length() - 1));
		}

	}

}
