package io.whinjunction.router;

import java.util.Arrays;
import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/**
 * The headers that routers add to requests and answers that one of them relays. They are
 * removed from what callers and upstreams send, and never passed to them. Stateless.
 */
final class RelayHeaders {

	/** The name of the router that has the caller. */
	static final AsciiString ORIGIN = AsciiString.cached("whin-relay-origin");

	/** The version of the configuration by which that router admitted the request. */
	private static final AsciiString VERSION = AsciiString.cached("whin-relay-version");

	/** The incarnations of the upstreams that may run the request, joined by commas. */
	private static final AsciiString TRIED = AsciiString.cached("whin-relay-tried");

	/** To how many upstreams more the relay may send the request. */
	private static final AsciiString ALLOWED = AsciiString.cached("whin-relay-allowed");

	/** How long the caller has waited, in milliseconds. */
	private static final AsciiString WAITED_MS = AsciiString.cached("whin-relay-waited-ms");

	/** What the answer says about the request: the name of an {@link Outcome}. */
	private static final AsciiString OUTCOME = AsciiString.cached("whin-relay-outcome");

	/**
	 * How often the request was sent to upstreams: in a request by other routers before,
	 * in an answer by the relay.
	 */
	private static final AsciiString SENT = AsciiString.cached("whin-relay-sent");

	/** The incarnations of the upstreams that the relay sent it to, joined by commas. */
	private static final AsciiString UPSTREAMS = AsciiString.cached("whin-relay-upstreams");

	private RelayHeaders() {
	}

	/**
	 * Adds the headers of a request.
	 * @param headers the headers to send
	 * @param origin describes the request at this router
	 */
	static void add(HttpHeaders headers, Origin origin) {
		headers.set(ORIGIN, origin.router());
		headers.set(VERSION, Long.toString(origin.version()));
		headers.set(WAITED_MS, Long.toString(origin.waitedMs()));
		headers.setInt(SENT, origin.sent());
		headers.setInt(ALLOWED, origin.allowed());
		if (!origin.tried().isEmpty()) {
			headers.set(TRIED, String.join(",", origin.tried()));
		}
	}

	/**
	 * Removes the headers of a request.
	 * @param headers the headers that were received
	 * @return what they say; empty if they are missing or can't be read
	 */
	static Optional<Origin> take(HttpHeaders headers) {
		String router = headers.get(ORIGIN);
		String tried = headers.get(TRIED, "");
		String version = headers.get(VERSION, "");
		String waitedMs = headers.get(WAITED_MS, "");
		int sent = sent(headers);
		// Routers of an earlier version set no bound.
		int allowed = Math.max(0, headers.getInt(ALLOWED, Integer.MAX_VALUE));
		remove(headers);
		if (router == null) {
			return Optional.empty();
		}
		try {
			return Optional.of(new Origin(router, Long.parseLong(version), Math.max(0, Long.parseLong(waitedMs)),
					split(tried), sent, allowed));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static Set<String> split(String incarnations) {
		return Arrays.stream(incarnations.split(","))
			.filter((incarnation) -> !incarnation.isEmpty())
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Removes all headers of relays.
	 * @param headers the headers that were received
	 */
	static void remove(HttpHeaders headers) {
		headers.remove(ORIGIN)
			.remove(VERSION)
			.remove(TRIED)
			.remove(WAITED_MS)
			.remove(OUTCOME)
			.remove(SENT)
			.remove(ALLOWED)
			.remove(UPSTREAMS);
	}

	/**
	 * Adds the headers of an answer.
	 * @param headers the headers to send
	 * @param outcome what the answer says about the request
	 * @param sent how often the request was sent to upstreams
	 * @param upstreams the incarnations of these upstreams
	 */
	static void setOutcome(HttpHeaders headers, Outcome outcome, int sent, Collection<String> upstreams) {
		headers.set(OUTCOME, outcome.logName());
		headers.setInt(SENT, sent);
		if (!upstreams.isEmpty()) {
			headers.set(UPSTREAMS, String.join(",", upstreams));
		}
	}

	/**
	 * Returns the upstreams that a relay sent the request to.
	 * @param headers the headers of the answer
	 * @return their incarnations; empty if the relay does not name them
	 */
	static Set<String> upstreams(HttpHeaders headers) {
		return split(headers.get(UPSTREAMS, ""));
	}

	/**
	 * Returns how often the request was sent to upstreams.
	 * @param headers the headers of the request or the answer
	 * @return the count; 0 if it is missing or can't be read
	 */
	static int sent(HttpHeaders headers) {
		return Math.max(0, headers.getInt(SENT, 0));
	}

	/**
	 * Returns what the answer of a relay says about the request.
	 * @param headers the headers of the answer
	 * @return the outcome; {@link Outcome#UNKNOWN} if it is missing or can't be read
	 */
	static Outcome outcome(HttpHeaders headers) {
		String name = headers.get(OUTCOME, "");
		return Arrays.stream(Outcome.values())
			.filter((outcome) -> outcome.logName().equals(name))
			.findFirst()
			.orElse(Outcome.UNKNOWN);
	}

	/** What a relay says about a request. */
	enum Outcome {

		/** The answer is that of an upstream. */
		ANSWERED,
		/** The request has not run, and the relay will not send it to an upstream. */
		NOT_RUN,
		/** The request is not allowed, and did not run. */
		DENIED,
		/** The request may have run. */
		UNKNOWN;

		/**
		 * Returns the name in headers and metrics.
		 * @return one word
		 */
		String logName() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

	/**
	 * A relayed request as the router that has its caller knows it. Immutable.
	 *
	 * @param router the name of that router
	 * @param version the version of its configuration
	 * @param waitedMs how long the caller has waited, in milliseconds
	 * @param tried the incarnations of the upstreams that may run the request, and a name
	 * of its own for each that is not known
	 * @param sent how often it was sent to upstreams
	 * @param allowed to how many further upstreams it may be sent
	 */
	record Origin(String router, long version, long waitedMs, Collection<String> tried, int sent, int allowed) {
	}

}
