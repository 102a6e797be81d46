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
 * The operators' port of an entry. Safe for all threads.
 */
final class OperatorHandler implements Handler {

	private static final String EXPLAIN = "/explain/";

	private final EntryParts parts;

	private final ConfigurationHolder configuration;

	private final Freshness freshness;

	private final InProgress inProgress;

	private final Runnable drain;

	OperatorHandler(EntryParts parts, ConfigurationHolder configuration, Freshness freshness, InProgress inProgress,
			Runnable drain) {
		this.parts = parts;
		this.configuration = configuration;
		this.freshness = freshness;
		this.inProgress = inProgress;
		this.drain = drain;
	}

	@Override
	public void handle(Exchange exchange) {
		exchange.reply(route(exchange.request()));
	}

	private Reply route(Request request) {
		String path = request.path();
		if (path.startsWith(EXPLAIN)) {
			String decision = this.parts.decisions().find(path.substring(EXPLAIN.length()));
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
		boolean ready = serving() && this.parts.gate().ready();
		return ready ? Reply.text(200, "ready\n") : Reply.text(503, "not ready\n");
	}

	private boolean serving() {
		return this.configuration.configuration().revision() > 0
				&& this.freshness.mayServe(this.parts.ticker().nowMs());
	}

	private Reply metrics() {
		this.parts.metrics().state("running", this.parts.drafts().running());
		this.parts.metrics().state("limit", this.parts.drafts().limit());
		this.parts.metrics().state("waiting", this.parts.drafts().waiting());
		this.parts.metrics().state("revision", this.configuration.configuration().revision());
		this.parts.metrics().state("confirmation_age_ms", this.freshness.ageMs(this.parts.ticker().nowMs()));
		this.parts.metrics().state("members", this.parts.members().alive().size());
		return new Reply(200, List.of(Map.entry("content-type", "text/plain; version=0.0.4")),
				this.parts.metrics().text());
	}

	private ObjectNode status() {
		ObjectNode node = Json.object();
		node.put("id", this.parts.settings().id());
		node.put("failure_domain", this.parts.settings().failureDomain());
		node.put("revision", this.configuration.configuration().revision());
		node.put("confirmation_age_ms", this.freshness.ageMs(this.parts.ticker().nowMs()));
		node.put("serving", serving());
		node.put("stopping", !this.parts.gate().ready());
		node.put("in_progress", this.inProgress.count());
		node.put("running", this.parts.drafts().running());
		node.put("limit", this.parts.drafts().limit());
		node.put("waiting", this.parts.drafts().waiting());
		ArrayNode members = node.putArray("members");
		for (Member member : this.parts.members().members()) {
			ObjectNode one = members.addObject();
			one.put("id", member.id());
			one.put("failure_domain", member.failureDomain());
			one.put("status", member.status().name().toLowerCase(Locale.ROOT));
		}
		return node;
	}

	private ArrayNode upstreams() {
		ArrayNode array = Json.MAPPER.createArrayNode();
		for (Upstream upstream : this.parts.upstreams().all().values()) {
			ObjectNode node = array.addObject();
			node.put("id", upstream.id());
			node.put("service", upstream.service());
			node.put("address", upstream.address());
			node.put("failure_domain", upstream.failureDomain());
			node.put("layers", (upstream.range() != null) ? upstream.range().toString() : "");
			node.put("generation", upstream.generation());
			node.put("leaving", upstream.leaving());
			node.put("in_flight", this.parts.upstreams().load(upstream.id()).inFlight());
			node.put("paused", this.parts.upstreams().load(upstream.id()).paused(this.parts.ticker().nowMs()));
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
