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
 * Gathers what is said about one request when it ends: a log line, metrics, the span's
 * end and the entry in the decision log. Confined to the request's thread.
 */
final class RequestRecord {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Bounds the line; the decision log holds all stages. */
	private static final int MOST_FAILED_LOGGED = 16;

	private final EntryParts parts;

	private final String requestId;

	private final Span span;

	private final long startedAtMs;

	private final ArrayNode hops = Json.MAPPER.createArrayNode();

	/** The stages that failed, with the kind of their end. */
	private String failed = "";

	private String team = "none";

	private String service = "none";

	private long revision;

	RequestRecord(EntryParts parts, String requestId, Span span) {
		this.parts = parts;
		this.requestId = requestId;
		this.span = span;
		this.startedAtMs = parts.ticker().nowMs();
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
			.limit(MOST_FAILED_LOGGED)
			.map((hop) -> hop.upstream() + " after " + hop.steps() + " steps: " + kind(hop.end()))
			.collect(Collectors.joining("; "));
	}

	void end(Outcome outcome) {
		Refusal refusal = switch (outcome) {
			case Outcome.Answered ignored -> null;
			case Outcome.NotRun notRun -> notRun.refusal();
			case Outcome.Unknown unknown -> unknown.refusal();
		};
		String code = (refusal != null) ? refusal.code().wireName() : "ok";
		long tookMs = this.parts.ticker().nowMs() - this.startedAtMs;
		this.parts.metrics().requestCompleted(this.service, this.team, outcome.headerValue(), code);
		this.span.setAttribute("whin.outcome", outcome.headerValue()).setAttribute("whin.code", code);
		this.span.end();
		ObjectNode node = Json.object();
		node.put("request_id", this.requestId);
		node.put("entry", this.parts.settings().id());
		node.put("failure_domain", this.parts.settings().failureDomain());
		node.put("team", this.team);
		node.put("service", this.service);
		node.put("revision", this.revision);
		node.put("outcome", outcome.headerValue());
		node.put("code", code);
		node.put("why", (refusal != null) ? refusal.sentence() : "");
		node.put("took_ms", tookMs);
		node.set("hops", this.hops);
		this.parts.decisions().put(this.requestId, node.toString());
		logger.atInfo()
			.log("request %s team=%s service=%s failure_domain=%s outcome=%s code=%s took_ms=%d hops=%d failed=\"%s\"",
					this.requestId, this.team, this.service, this.parts.settings().failureDomain(),
					outcome.headerValue(), code, tookMs, this.hops.size(), this.failed);
	}

	/**
	 * What of an end may be logged. An engine's refusal is its own text and may quote the
	 * caller's prompt, which the line must not hold; the decision log has it.
	 * @param end a hop's end: the kind, where a text follows with a colon between
	 * @return the kind
	 */
	static String kind(String end) {
		int colon = end.indexOf(':');
		return (colon < 0) ? end : end.substring(0, colon);
	}

}
