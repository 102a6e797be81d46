package io.whinjunction.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Service;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Reply;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.outcome.Refusal.Code;
import io.whinjunction.session.DraftRequest;
import io.whinjunction.session.DraftResult;
import io.whinjunction.session.DraftSession;
import io.whinjunction.session.Hop;
import io.whinjunction.session.TokenSink;
import tools.jackson.databind.node.ObjectNode;

/**
 * Answers the text model API: whole answers, and streams as server-sent events.
 * <p>
 * Invariant: a stream ends with {@code [DONE]} only where the whole answer was sent; any
 * other end carries an error event and breaks the connection off. Safe for all threads.
 */
final class DraftHandler {

	private final EntryParts parts;

	DraftHandler(EntryParts parts) {
		this.parts = parts;
	}

	Outcome handle(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed, boolean chat) {
		DraftBody body;
		try {
			body = DraftBody.parse(exchange.request().body(), chat, this.parts.settings().limits().promptChars(),
					this.parts.settings().limits().draftTokens());
		}
		catch (DraftBody.BadBody ex) {
			return refuse(exchange, record, Refusal.permanent(Code.BAD_REQUEST, ex.getMessage()));
		}
		if (!(passed.service(body.model()).orElse(null) instanceof Service.Model model)) {
			return refuse(exchange, record, Gate.unknownService(passed, body.model()));
		}
		record.service(model.name());
		Span waiting = this.parts.tracing().startChildSpan(record.span(), "admission");
		Refusal refusal = Admission.enter(this.parts, this.parts.drafts(), passed.team(), model.answerDeadlineMs(),
				exchange);
		waiting.end();
		if (refusal != null) {
			return refuse(exchange, record, refusal);
		}
		long enteredMs = this.parts.ticker().nowMs();
		try {
			return run(exchange, record, passed, model,
					new Writer(exchange, record, body, chat, enteredMs, model.answerDeadlineMs()));
		}
		finally {
			long nowMs = this.parts.ticker().nowMs();
			this.parts.drafts().leave(passed.team().name(), nowMs - enteredMs, nowMs);
		}
	}

	private Outcome run(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed, Service.Model model,
			Writer writer) {
		DraftRequest request = new DraftRequest(record.requestId(), model,
				() -> this.parts.gate().placement(passed.team().name()),
				(over) -> this.parts.gate().awaitPlacement(passed.team().name(), over), writer.body.prompt(),
				writer.body.maxTokens(), record.startedAtMs() + model.answerDeadlineMs());
		DraftResult result = new DraftSession(request, this.parts.chooser(), this.parts.upstreams(),
				this.parts.engines(), this.parts.budget(), this.parts.ticker())
			.run(writer);
		record.hops(result.hops());
		result.hops().forEach((hop) -> trace(record.span(), hop));
		this.parts.metrics().retried(model.name(), result.attempts() - 1);
		this.parts.metrics().tokens(model.name(), result.tokens().size());
		switch (result.outcome()) {
			case Outcome.Answered ignored -> writer.whole(result.tokens());
			case Outcome.NotRun notRun -> writer.broken(result.outcome(), notRun.refusal());
			case Outcome.Unknown unknown -> writer.broken(result.outcome(), unknown.refusal());
		}
		return result.outcome();
	}

	private void trace(Span parent, Hop hop) {
		Attributes attributes = Attributes.builder()
			.put("whin.upstream", hop.upstream())
			.put("whin.failure_domain", hop.failureDomain())
			.put("whin.layers", hop.range().toString())
			.put("whin.attempt", hop.attempt())
			.put("whin.steps", hop.steps())
			.build();
		this.parts.tracing()
			.recordHop(parent, "stage " + hop.range(), attributes, hop.millis(), hop.end().equals("ok"));
	}

	private static Outcome refuse(Exchange exchange, RequestRecord record, Refusal refusal) {
		Outcome outcome = new Outcome.NotRun(refusal);
		exchange.reply(Answers.refusal(outcome, refusal, record.requestId()));
		return outcome;
	}

	/**
	 * Writes tokens in the caller's chosen form. Confined to the request's thread.
	 */
	private final class Writer implements TokenSink {

		private final Exchange exchange;

		private final RequestRecord record;

		private final DraftBody body;

		private final boolean chat;

		private final long enteredMs;

		private final long allowedMs;

		private boolean begun;

		private int count;

		Writer(Exchange exchange, RequestRecord record, DraftBody body, boolean chat, long enteredMs, long allowedMs) {
			this.exchange = exchange;
			this.record = record;
			this.body = body;
			this.chat = chat;
			this.enteredMs = enteredMs;
			this.allowedMs = allowedMs;
		}

		@Override
		public void token(String token) {
			EntryParts entry = DraftHandler.this.parts;
			long nowMs = entry.ticker().nowMs();
			if (this.count++ == 0) {
				entry.metrics().firstToken(this.body.model(), nowMs - this.record.startedAtMs());
			}
			double paceMs = (double) (nowMs - this.enteredMs) * this.body.maxTokens() / this.count;
			entry.drafts().paced(nowMs, paceMs, this.allowedMs);
			if (this.body.stream()) {
				begin();
				event(chunk(token, null).toString());
			}
		}

		@Override
		public boolean cancelled() {
			return this.exchange.callerDisconnected();
		}

		@Override
		public boolean stopping() {
			return !DraftHandler.this.parts.gate().leavesTimeFor(0);
		}

		void whole(List<String> tokens) {
			if (!this.body.stream()) {
				Reply reply = new Reply(200, headers("application/json"),
						chunk(String.join("", tokens), "length").toString().getBytes(StandardCharsets.UTF_8));
				this.exchange.reply(reply);
				return;
			}
			begin();
			event(chunk("", "length").toString());
			event("[DONE]");
			this.exchange.end(List.of(Map.entry(Answers.OUTCOME, "answered")));
		}

		void broken(Outcome outcome, Refusal refusal) {
			if (!this.begun) {
				this.exchange.reply(Answers.refusal(outcome, refusal, this.record.requestId()));
				return;
			}
			ObjectNode node = Json.object();
			node.put(Answers.OUTCOME, outcome.headerValue());
			node.set("error", Answers.error(refusal, this.record.requestId()));
			event(node.toString());
			this.exchange.abort();
		}

		private void begin() {
			if (!this.begun) {
				this.begun = true;
				this.exchange.begin(200, headers("text/event-stream"));
			}
		}

		private List<Map.Entry<String, String>> headers(String contentType) {
			List<Map.Entry<String, String>> headers = new ArrayList<>();
			headers.add(Map.entry("content-type", contentType));
			headers.add(Map.entry(Answers.OUTCOME, "answered"));
			headers.add(Map.entry(Answers.REQUEST_ID, this.record.requestId()));
			if (!this.body.ignored().isEmpty()) {
				headers.add(Map.entry("whin-ignored", String.join(",", this.body.ignored())));
			}
			return headers;
		}

		private void event(String data) {
			this.exchange.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
		}

		private ObjectNode chunk(String text, String finish) {
			ObjectNode node = Json.object();
			node.put("id", this.record.requestId());
			node.put("object", object());
			node.put("model", this.body.model());
			ObjectNode choice = node.putArray("choices").addObject();
			choice.put("index", 0);
			if (this.chat) {
				choice.putObject(this.body.stream() ? "delta" : "message")
					.put("role", "assistant")
					.put("content", text);
			}
			else {
				choice.put("text", text);
			}
			choice.put("finish_reason", finish);
			return node;
		}

		private String object() {
			if (!this.chat) {
				return "text_completion";
			}
			return this.body.stream() ? "chat.completion.chunk" : "chat.completion";
		}

	}

}
