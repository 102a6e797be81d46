package io.whinjunction.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

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

		/**
		 * Returns the body decoded as UTF-8.
		 * @return the text
		 */
		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
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
	 */
	record Lost(String reason, boolean silent) implements CallResult {
	}

}
