package io.whinjunction.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.Reply;
import io.whinjunction.http.server.Request;
import io.whinjunction.log.Logs;
import io.whinjunction.membership.Member;
import io.whinjunction.pipeline.Upstream;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Handles the requests on the operator port of an entry. Thread-safe.
 */
final class OperatorHandler implements Handler {

	private static final String EXPLAIN = "/explain/";

	private final EntryContext context;

	private final ConfigurationHolder configuration;

	private final Freshness freshness;

	private final InFlightRequests inFlight;

	private final Runnable drain;

	OperatorHandler(EntryContext context, ConfigurationHolder configuration, Freshness freshness,
			InFlightRequests inFlight, Runnable drain) {
		this.context = context;
		this.configuration = configuration;
		this.freshness = freshness;
		this.inFlight = inFlight;
		this.drain = drain;
	}

	@Override
	public void handle(Exchange exchange) {
		exchange.reply(route(exchange.request()));
	}

	private Reply route(Request request) {
		String path = request.path();
		if (path.startsWith(EXPLAIN)) {
			String decision = this.context.decisions().find(path.substring(EXPLAIN.length()));
			return (decision != null) ? Reply.json(200, decision) : Reply.json(404, "{}");
		}
		return switch (request.method() + " " + path) {
			case "GET /healthz" -> Reply.text(200, "ok\n");
			case "GET /readyz" -> ready();
			case "GET /metrics" -> metrics();
			case "GET /status" -> Reply.json(200, status().toString());
			case "GET /upstreams" -> Reply.json(200, upstreams().toString());
			case "POST /drain" -> {
				this.drain.run();
				yield Reply.json(202, "{}");
			}
			case "POST /manifest" -> offer(request);
			case "POST /log-level" -> Logs.setLevel(request.parameter("level").orElse("")) ? Reply.json(200, "{}")
					: Reply.text(400, "level is one of trace, debug, info, warn, error\n");
			default -> Reply.text(404, "the paths are /healthz /readyz /metrics /status /upstreams /explain/ID\n");
		};
	}

	private Reply ready() {
		boolean ready = serving() && this.context.gate().ready();
		return ready ? Reply.text(200, "ready\n") : Reply.text(503, "not ready\n");
	}

	private boolean serving() {
		return this.configuration.configuration().revision() > 0
				&& this.freshness.mayServe(this.context.ticker().nowMs());
	}

	private Reply metrics() {
		this.context.metrics().state("running", this.context.drafts().running());
		this.context.metrics().state("limit", this.context.drafts().limit());
		this.context.metrics().state("waiting", this.context.drafts().waiting());
		this.context.metrics().state("revision", this.configuration.configuration().revision());
		this.context.metrics().state("confirmation_age_ms", this.freshness.ageMs(this.context.ticker().nowMs()));
		this.context.metrics().state("members", this.context.members().alive().size());
		return new Reply(200, List.of(Map.entry("content-type", "text/plain; version=0.0.4")),
				this.context.metrics().text());
	}

	private ObjectNode status() {
		ObjectNode node = Json.object();
		node.put("id", this.context.settings().id());
		node.put("failure_domain", this.context.settings().failureDomain());
		node.put("revision", this.configuration.configuration().revision());
		node.put("confirmation_age_ms", this.freshness.ageMs(this.context.ticker().nowMs()));
		node.put("serving", serving());
		node.put("stopping", !this.context.gate().ready());
		node.put("in_progress", this.inFlight.count());
		node.put("running", this.context.drafts().running());
		node.put("limit", this.context.drafts().limit());
		node.put("waiting", this.context.drafts().waiting());
		ArrayNode members = node.putArray("members");
		for (Member member : this.context.members().members()) {
			ObjectNode memberNode = members.addObject();
			memberNode.put("id", member.id());
			memberNode.put("failure_domain", member.failureDomain());
			memberNode.put("status", member.status().name().toLowerCase(Locale.ROOT));
		}
		return node;
	}

	private ArrayNode upstreams() {
		ArrayNode array = Json.MAPPER.createArrayNode();
		for (Upstream upstream : this.context.upstreams().all().values()) {
			ObjectNode node = array.addObject();
			node.put("id", upstream.id());
			node.put("service", upstream.service());
			node.put("address", upstream.address());
			node.put("failure_domain", upstream.failureDomain());
			node.put("layers", (upstream.range() != null) ? upstream.range().toString() : "");
			node.put("generation", upstream.generation());
			node.put("leaving", upstream.leaving());
			node.put("in_flight", this.context.upstreams().load(upstream.id()).inFlight());
			node.put("paused", this.context.upstreams().load(upstream.id()).paused(this.context.ticker().nowMs()));
		}
		return array;
	}

	private Reply offer(Request request) {
		Manifest manifest = Manifest.parse(request.text());
		if (manifest == null) {
			return Reply.text(400, "that is no manifest\n");
		}
		this.configuration.offer(manifest);
		return Reply.json(200, Long.toString(this.configuration.configuration().revision()));
	}

}
