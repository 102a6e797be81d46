package io.whinjunction.entry;

import java.util.List;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import io.whinjunction.configuration.Json;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.session.Hop;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Collects the data of one request and reports it when the request ends: as a log line,
 * in metrics, in the trace span and in the decision log. Confined to the request's
 * thread.
 */
final class RequestRecord {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Limits the length of the log line; the decision log has all stages. */
	private static final int MAX_FAILED_LOGGED = 16;

	private final EntryContext context;

	private final String requestId;

	private final Span span;

	private final long startedAtMs;

	private final ArrayNode hops = Json.MAPPER.createArrayNode();

	/** The failed stages, each with the kind of its end. */
	private String failed = "";

	private String team = "none";

	private String service = "none";

	private long revision;

	private boolean ended;

	RequestRecord(EntryContext context, String requestId, Span span) {
		this.context = context;
		this.requestId = requestId;
		this.span = span;
		this.startedAtMs = context.ticker().nowMs();
	}

	String requestId() {
		return this.requestId;
	}

	Span span() {
		return this.span;
	}

	long startedAtMs() {
		return this.startedAtMs;
	}

	void passed(Gate.Verdict.Passed passed) {
		this.team = passed.team().name();
		this.revision = passed.configuration().revision();
	}

	void service(String name) {
		this.service = name;
	}

	void hops(List<Hop> taken) {
		for (Hop hop : taken) {
			ObjectNode node = this.hops.addObject();
			node.put("attempt", hop.attempt());
			node.put("upstream", hop.upstream());
			node.put("failure_domain", hop.failureDomain());
			node.put("layers", (hop.range() != null) ? hop.range().toString() : "");
			node.put("generation", hop.generation());
			node.put("steps", hop.steps());
			node.put("millis", hop.millis());
			node.put("end", hop.end());
		}
		this.failed = taken.stream()
			.filter((hop) -> !hop.end().equals("ok"))
			.limit(MAX_FAILED_LOGGED)
			.map((hop) -> hop.upstream() + " after " + hop.steps() + " steps: " + endKind(hop.end()))
			.collect(Collectors.joining("; "));
	}

	/**
	 * Reports the request, unless that was done.
	 * @param outcome its outcome
	 */
	void end(Outcome outcome) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		Refusal refusal = switch (outcome) {
			case Outcome.Answered ignored -> null;
			case Outcome.NotRun notRun -> notRun.refusal();
			case Outcome.Unknown unknown -> unknown.refusal();
		};
		String code = (refusal != null) ? refusal.code().wireName() : "ok";
		long tookMs = this.context.ticker().nowMs() - this.startedAtMs;
		this.context.metrics().requestCompleted(this.service, this.team, outcome.headerValue(), code);
		this.span.setAttribute("whin.outcome", outcome.headerValue()).setAttribute("whin.code", code);
		this.span.end();
		ObjectNode node = Json.object();
		node.put("request_id", this.requestId);
		node.put("entry", this.context.settings().id());
		node.put("failure_domain", this.context.settings().failureDomain());
		node.put("team", this.team);
		node.put("service", this.service);
		node.put("revision", this.revision);
		node.put("outcome", outcome.headerValue());
		node.put("code", code);
		node.put("why", (refusal != null) ? refusal.sentence() : "");
		node.put("took_ms", tookMs);
		node.set("hops", this.hops);
		this.context.decisions().put(this.requestId, node.toString());
		logger.atInfo()
			.log("request %s team=%s service=%s failure_domain=%s outcome=%s code=%s took_ms=%d hops=%d failed=\"%s\"",
					this.requestId, this.team, this.service, this.context.settings().failureDomain(),
					outcome.headerValue(), code, tookMs, this.hops.size(), this.failed);
	}

	/**
	 * Returns the part of a hop's end that may be logged. The refusal of an engine is
	 * free text and may quote the caller's prompt, which must not appear in the log line;
	 * the decision log has the full text.
	 * @param end the end of a hop: its kind, optionally followed by a colon and a text
	 * @return the kind
	 */
	static String endKind(String end) {
		int colon = end.indexOf(':');
		return (colon < 0) ? end : end.substring(0, colon);
	}

}
