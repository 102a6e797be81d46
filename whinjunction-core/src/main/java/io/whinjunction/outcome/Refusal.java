package io.whinjunction.outcome;

import java.util.Locale;

/**
 * Why a request has no answer, for a program and for a person. Immutable.
 *
 * @param code a stable word for programs
 * @param sentence one sentence for a person, without the caller's data
 * @param status the HTTP status
 * @param retryAfterS when to come back, in seconds; 0 where a retry makes no sense
 */
public record Refusal(Code code, String sentence, int status, int retryAfterS) {

	/**
	 * A refusal that a retry of the same request cannot mend.
	 * @param code the reason
	 * @param sentence one sentence for a person
	 * @return the refusal
	 */
	public static Refusal permanent(Code code, String sentence) {
		return new Refusal(code, sentence, code.status, 0);
	}

	/**
	 * A refusal that may be gone after a while.
	 * @param code the reason
	 * @param sentence one sentence for a person
	 * @param retryAfterS when to come back, in seconds
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
		 * The first request with this idempotency key is still running, or its fate is
		 * unknown.
		 */
		ACTION_IN_DOUBT(409),
		/** The body is larger than the limit. */
		TOO_LARGE(413),
		/** The caller sent too slowly. */
		TOO_SLOW(408),
		/** The team's limit is used up. */
		TEAM_LIMIT(429),
		/** More work is waiting than can be done in time. */
		OVERLOADED(503),
		/** The deadline cannot be met. */
		DEADLINE(503),
		/** No upstream can serve now. */
		NO_UPSTREAM(503),
		/** The platform's object API is needed and does not answer. */
		PLATFORM_UNAVAILABLE(503),
		/** This entry cannot tell whether its configuration is current. */
		CONFIGURATION_UNCONFIRMED(503),
		/** This entry is stopping. */
		STOPPING(503),
		/** The upstream broke off. */
		UPSTREAM_FAILED(502);

		private final int status;

		Code(int status) {
			this.status = status;
		}

		/**
		 * The code as it stands in answers.
		 * @return lower case with hyphens
		 */
		public String wireName() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

}
