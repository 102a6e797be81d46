package io.whinjunction.http;

/**
 * Reads the {@code Keep-Alive} header. Stateless.
 */
public final class KeepAlive {

	private static final long MS_PER_S = 1000;

	private KeepAlive() {
	}

	/**
	 * Returns how long the other side keeps an idle connection open.
	 * @param value the value of the header, or {@code null}
	 * @return milliseconds; -1 if the header does not tell
	 */
	public static long timeoutMs(String value) {
		if (value == null) {
			return -1;
		}
		for (String part : value.split(",")) {
			String[] pair = part.trim().split("=");
			if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout")) {
				return parsedMs(pair[1].trim());
			}
		}
		return -1;
	}

	private static long parsedMs(String seconds) {
		try {
			long whole = (long) Double.parseDouble(seconds);
			return (whole >= 0) ? whole * MS_PER_S : -1;
		}
		catch (NumberFormatException ex) {
			// What can't be read tells nothing.
			return -1;
		}
	}

}
