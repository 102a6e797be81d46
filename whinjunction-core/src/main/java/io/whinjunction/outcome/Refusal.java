package io.whinjunction.outcome;

import java.util.Locale;

/**
 * The reason why a request has no answer, in machine-readable and human-readable form.
 * Immutable.
 *
 * @param code a stable code for programs
 * @param sentence one sentence for people, without data of the caller
 * @param status the HTTP status
 * @param retryAfterS when to retry, in seconds; 0 if a retry is pointless
 */
public record Refusal(Code code, String sentence, int status, int retryAfterS) {

	/**
	 * Creates a refusal that also a retry of the same request would get.
	 * @param code the reason
	 * @param sentence one sentence for people
	 * @return the refusal
	 */
	public static Refusal permanent(Code code, String sentence) {
		return new Refusal(code, sentence, code.status, 0);
	}

	/**
	 * Creates a refusal for which a later retry may succeed.
	 * @param code the reason
	 * @param sentence one sentence for people
	 * @param retryAfterS when to retry, in seconds
	 * @return the refusal
	 */
	public static Refusal temporary(Code code, String sentence, int retryAfterS) {
		return new Refusal(code, sentence, code.status, Math.max(1, retryAfterS));
	}

	/**
	 * The reasons, each with its HTTP status.
	 */
	public enum Code {

		/** The request is malformed. */
		BAD_REQUEST(400),
		/** No team has this key. */
		UNKNOWN_KEY(401),
		/** No permitted place can run the request. */
		PLACE_NOT_PERMITTED(403),
		/** No such service or path. */
		UNKNOWN_SERVICE(404),
		/** The idempotency key belongs to another body. */
		IDEMPOTENCY_KEY_REUSED(422),
		/**
		 * The first request with this idempotency key is still running, or its outcome is
		 * unknown.
		 */
		ACTION_IN_DOUBT(409),
		/** The body is larger than the limit. */
		TOO_LARGE(413),
		/** The caller sent too slowly. */
		TOO_SLOW(408),
		/** The team's rate limit is exhausted. */
		TEAM_LIMIT(429),
		/** More work is waiting than can be done in time. */
		OVERLOADED(503),
		/** The deadline cannot be met. */
		DEADLINE(503),
		/** No upstream can serve now. */
		NO_UPSTREAM(503),
		/** The platform's object API is required and does not answer. */
		PLATFORM_UNAVAILABLE(503),
		/** This entry cannot confirm that its configuration is current. */
		CONFIGURATION_UNCONFIRMED(503),
		/** This entry is stopping. */
		STOPPING(503),
		/** The upstream failed before its answer was complete. */
		UPSTREAM_FAILED(502);

		private final int status;

		Code(int status) {
			this.status = status;
		}

		/**
		 * Returns the code as written in responses.
		 * @return lower case with hyphens
		 */
		public String wireName() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

}
