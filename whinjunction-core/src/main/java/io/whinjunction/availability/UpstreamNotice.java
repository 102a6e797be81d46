package io.whinjunction.availability;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * What an upstream states about itself in the head of any of its answers. Immutable.
 *
 * @param leaving whether it is about to stop
 * @param retryAfterMs how long it requests not to be called, in milliseconds; -1 if it
 * requests nothing
 */
public record UpstreamNotice(boolean leaving, long retryAfterMs) {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Minimum interval between two log lines about unreadable values, in seconds. */
	private static final int UNREADABLE_LOG_INTERVAL_S = 5;

	private static final int SERVICE_UNAVAILABLE = 503;

	/** The notice of an answer that states nothing. */
	public static final UpstreamNotice NONE = new UpstreamNotice(false, -1);

	/**
	 * Reads the values of the headers. A value that cannot be read is logged and states
	 * nothing.
	 * @param leaving the value of the header that says that the upstream leaves, {@code
	 * 1} if it does; {@code null} without that header
	 * @param retryAfter the value of {@code Retry-After} in seconds, for example {@code
	 * 1.5}; {@code null} without that header
	 * @return the notice
	 */
	public static UpstreamNotice of(String leaving, String retryAfter) {
		if (leaving == null && retryAfter == null) {
			return NONE;
		}
		return new UpstreamNotice(leaving != null && leaving.trim().equals("1"), parseRetryAfterMs(retryAfter));
	}

	/**
	 * Returns how long an upstream is not to be called after an answer.
	 * @param status the status of the answer; only an upstream that turns a request away
	 * asks for itself, other answers may tell the caller when to come back
	 * @return milliseconds; 0 if it may be called at once
	 */
	public long backoffMs(int status) {
		return (status == SERVICE_UNAVAILABLE) ? Math.max(0, this.retryAfterMs) : 0;
	}

	private static long parseRetryAfterMs(String text) {
		if (text == null) {
			return -1;
		}
		try {
			double seconds = Double.parseDouble(text.trim());
			if (Double.isFinite(seconds) && seconds >= 0) {
				return (long) Math.ceil(seconds * 1000);
			}
		}
		catch (NumberFormatException ex) {
			// Logged below, as a negative number is.
		}
		logger.atWarning()
			.atMostEvery(UNREADABLE_LOG_INTERVAL_S, TimeUnit.SECONDS)
			.log("event=retry-after-unreadable value=\"%s\" allowed=\"seconds, 0 or more\"", text);
		return -1;
	}

}
