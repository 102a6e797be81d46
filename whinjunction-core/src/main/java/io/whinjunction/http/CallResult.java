package io.whinjunction.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import io.whinjunction.availability.UpstreamNotice;

/**
 * The result of an outgoing call. Immutable.
 */
public sealed interface CallResult {

	/**
	 * A complete response was received.
	 *
	 * @param status the status
	 * @param headers the headers in order
	 * @param body the body
	 */
	record Response(int status, List<Map.Entry<String, String>> headers, byte[] body) implements CallResult {

		/** The header by which an upstream states that it leaves: {@code 1}. */
		public static final String LEAVING = "whin-leaving";

		/**
		 * Returns the body decoded as UTF-8.
		 * @return the text
		 */
		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

		/**
		 * Returns what the other side states about itself in the headers of this system
		 * and the standard ones.
		 * @return the notice
		 */
		public UpstreamNotice notice() {
			return UpstreamNotice.of(header(LEAVING), header("retry-after"));
		}

		/**
		 * Returns the first value of a header.
		 * @param name the name, in any case
		 * @return the value, or {@code null} if the response has no such header
		 */
		public String header(String name) {
			for (Map.Entry<String, String> header : this.headers) {
				if (header.getKey().equalsIgnoreCase(name)) {
					return header.getValue();
				}
			}
			return null;
		}

	}

	/**
	 * No byte of the request was written, so the other side cannot have received it.
	 *
	 * @param reason the reason, for the log
	 */
	record NotSent(String reason) implements CallResult {
	}

	/**
	 * The request may have been received, but no complete response arrived.
	 *
	 * @param reason the reason, for the log
	 * @param silent whether the call timed out
	 * @param tooLong whether the response was longer than the call allows, and was cut
	 * off
	 */
	record Lost(String reason, boolean silent, boolean tooLong) implements CallResult {

		/**
		 * Creates the result of a call whose response was not cut off.
		 * @param reason the reason, for the log
		 * @param silent whether the call timed out
		 */
		public Lost(String reason, boolean silent) {
			this(reason, silent, false);
		}

	}

}
