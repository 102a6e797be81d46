package io.whinjunction.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * What is known of an outgoing call. Immutable.
 */
public sealed interface CallResult {

	/**
	 * A whole response came.
	 *
	 * @param status the status
	 * @param headers the headers in order
	 * @param body the body
	 */
	record Response(int status, List<Map.Entry<String, String>> headers, byte[] body) implements CallResult {

		/**
		 * The body as text.
		 * @return the text
		 */
		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/**
	 * No byte of the request was written: the other side cannot have seen it.
	 *
	 * @param reason why, for the log
	 */
	record NotSent(String reason) implements CallResult {
	}

	/**
	 * The request may have been seen; no whole response came.
	 *
	 * @param reason why, for the log
	 * @param silent whether the timeout ended it
	 */
	record Lost(String reason, boolean silent) implements CallResult {
	}

}
