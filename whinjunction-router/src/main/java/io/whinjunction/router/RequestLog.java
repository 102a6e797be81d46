package io.whinjunction.router;

import java.util.Collection;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.AttemptOutcome;
import io.whinjunction.forward.PromptPart;
import io.whinjunction.forward.RetryObstacle;
import io.whinjunction.routing.Route;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * Writes the log lines and counters of a request: one line for each attempt that gave no
 * answer and one for the end of the request, each with the values that decided it.
 * Stateless.
 */
final class RequestLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Bounds the length of a log line. */
	private static final int MAX_LOGGED_PARTS = 4;

	/** The same for the upstreams that ran a request. */
	private static final int MAX_LOGGED_UPSTREAMS = 8;

	/** The outcome of a request whose caller closed its connection. */
	static final String GONE = "gone";

	private RequestLog() {
	}

	/**
	 * Records the end of a request.
	 * @param session the request
	 * @param outcome its outcome
	 * @param reason the reason of the outcome
	 * @param phase how far the attempt under way had come
	 * @param sentMsAgo how long ago that attempt was sent, in milliseconds; -1 if none
	 * was
	 */
	static void ended(ForwardSession session, String outcome, String reason, RequestPhase phase, long sentMsAgo) {
		RouterContext router = session.router();
		long tookMs = router.nowMs() - session.startedMs();
		String kind = (session.route() != null) ? session.route().kind().name() : "none";
		router.metrics().ended(kind, outcome, tookMs);
		if (outcome.equals(GONE)) {
			router.metrics().callerLeft(phase);
		}
		if (session.route() != null) {
			router.metrics().requestUpstreams(session.history().ranAt().size(), session.route().limits().maxAttempts());
		}
		RoutingConfiguration configuration = router.configuration();
		logger.atInfo()
			.log("event=request id=%s print=%s parts=%s outcome=%s reason=%s no-retry=%s kind=%s route=%s service=%s team=%s sent=%d not-sent=%d "
					+ "events=%d tokens=%d+%d %s took-ms=%d aim-ms=%d gap-aim-ms=%d taken-in-stop-ms=%s %s version=%d proof-age-ms=%d origin=%s "
					+ "rank=%d waited-ms=%d phase=%s sent-ms-ago=%d ran-at=%s not-counted=%s", session.request().id(),
					print(session), parts(session), outcome, reason,
					(session.obstacle() != null) ? session.obstacle().logName() : "-", kind,
					(session.route() != null) ? session.route().name() : "-",
					(session.service() != null) ? session.service().name() : "-",
					(session.teamName() != null) ? session.teamName() : "-", session.history().sent(),
					session.history().notSent(), session.events().events(), session.request().promptTokens(),
					session.request().answerTokens(), session.progress(), tookMs, aimMs(session.route()),
					gapAimMs(session.route()), takenInStopMs(router, tookMs), target(session.lastTarget()),
					(configuration != null) ? configuration.version() : -1, router.proof().ageMs(router.bootMs()),
					session.originName(), (session.route() != null) ? session.priority() : -1, session.waitedMs(),
					phase.logName(), sentMsAgo, limited(session.history().ranAt()), limited(session.notCounted()));
	}

	private static String limited(Collection<String> words) {
		return words.isEmpty() ? "-" : words.stream().limit(MAX_LOGGED_UPSTREAMS).collect(Collectors.joining(","));
	}

	/**
	 * Logs that a request waits, or is refused, in favour of more urgent ones.
	 * @param session the request
	 * @param decision the decision
	 * @param load the load of its service, from 0 to 1
	 * @param allowedRatio the ratio of the requests of its rank that begin at this load
	 */
	static void admission(ForwardSession session, String decision, double load, double allowedRatio) {
		logger.atInfo()
			.log("event=admission id=%s decision=%s service=%s team=%s rank=%d load=%.2f allowed-ratio=%.2f waited-ms=%d",
					session.request().id(), decision, session.service().name(), session.teamName(),
					RequestAdmission.rank(session), load, allowedRatio, session.waitedMs());
	}

	/**
	 * Logs that no upstream can serve a request now.
	 * @param session the request
	 * @param unusable what prevents the upstreams from being chosen
	 */
	static void noTarget(ForwardSession session, TargetChooser.Unusable unusable) {
		logger.atInfo()
			.log("event=no-target id=%s service=%s sent=%d answer-begun=%s %s", session.request().id(),
					session.service().name(), session.history().sent(), session.answerBegun(), unusable);
	}

	/**
	 * Logs that an answer that has begun waits to be resumed.
	 * @param session the request
	 * @param obstacle what prevents it now
	 * @param reason how the last attempt ended
	 */
	static void waits(ForwardSession session, RetryObstacle obstacle, String reason) {
		logger.atInfo()
			.log("event=stream-waits id=%s obstacle=%s reason=\"%s\" sent=%d not-sent=%d events=%d left-ms=%d",
					session.request().id(), obstacle.logName(), reason, session.history().sent(),
					session.history().notSent(), session.events().events(), session.leftMs());
	}

	private static String print(ForwardSession session) {
		return (session.identity() != null) ? session.identity().fingerprint().toString() : "-";
	}

	private static String parts(ForwardSession session) {
		return session.parts().isEmpty() ? "-"
				: session.parts()
					.stream()
					.limit(MAX_LOGGED_PARTS)
					.map(PromptPart::toString)
					.collect(Collectors.joining(","));
	}

	// When the request arrived, relative to the signal to stop: negative if it was under
	// way before.
	private static String takenInStopMs(RouterContext router, long tookMs) {
		return router.stopping() ? Long.toString(router.stopAgeMs() - tookMs) : "-";
	}

	/**
	 * Logs the decision whether an attempt may begin although this process is stopping.
	 * @param session the request
	 * @param judgement the decision and its inputs
	 */
	static void judgedInStop(ForwardSession session, StopAdmission.Judgement judgement) {
		logger.atInfo()
			.log("event=judged-in-stop id=%s begins=%s age-ms=%d left-ms=%d outliving=%.3f others=%d/%d",
					session.request().id(), judgement.begins(), judgement.ageMs(), judgement.leftMs(),
					judgement.outliving(), judgement.others().serving(), judgement.others().known());
	}

	private static long aimMs(Route route) {
		return (route != null) ? route.limits().targetLatencyMs() : -1;
	}

	private static long gapAimMs(Route route) {
		return (route != null) ? route.limits().gapTargetMs() : -1;
	}

	private static String target(Target target) {
		if (target == null) {
			return "upstream=- domain=- hops=0";
		}
		return "upstream=" + target.first().id() + " domain=" + target.first().failureDomain() + " hops="
				+ target.path().size();
	}

	/**
	 * Records an attempt that ended without an answer.
	 * @param session the request
	 * @param attempt the attempt
	 * @param end how it ended
	 * @param faultyAddress the engine that made it fail, or {@code null}
	 */
	static void attemptEnded(ForwardSession session, Attempt attempt, AttemptOutcome end, String faultyAddress) {
		String kind = end.getClass().getSimpleName();
		session.router().metrics().attempt(kind);
		logger.atInfo()
			.log("event=attempt id=%s print=%s parts=%s end=%s reason=\"%s\" upstream=%s faulty=%s hops=%d events=%d left-ms=%d "
					+ "retry-after-ms=%d upstream-leaving=%s", session.request().id(), print(session), parts(session),
					kind, end.reason(), attempt.target().first().id(), (faultyAddress != null) ? faultyAddress : "-",
					attempt.target().path().size(), attempt.eventBatches(), session.leftMs(),
					attempt.notice().retryAfterMs(), attempt.notice().leaving());
	}

}
