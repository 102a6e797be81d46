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
 * Handles the text model API: complete responses and streams of server-sent events.
 * <p>
 * Invariant: a stream ends with {@code [DONE]} only if the complete answer was sent;
 * otherwise it ends with an error event and an aborted connection. Thread-safe.
 */
final class DraftHandler {

	private final EntryContext context;

	DraftHandler(EntryContext context) {
		this.context = context;
	}

	Outcome handle(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed, boolean chat) {
		DraftBody body;
		try {
			body = DraftBody.parse(exchange.request().body(), chat, this.context.settings().limits().promptChars(),
					this.context.settings().limits().draftTokens());
		}
		catch (DraftBody.InvalidBodyException ex) {
			return refuse(exchange, record, Refusal.permanent(Code.BAD_REQUEST, ex.getMessage()));
		}
		if (!(passed.service(body.model()).orElse(null) instanceof Service.Model model)) {
			return refuse(exchange, record, Gate.unknownService(passed, body.model()));
		}
		record.service(model.name());
		Span admission = this.context.tracing().startChildSpan(record.span(), "admission");
		Refusal refusal = Admission.enter(this.context, this.context.drafts(), passed.team(), model.answerDeadlineMs(),
				exchange);
		admission.end();
		if (refusal != null) {
			return refuse(exchange, record, refusal);
		}
		long enteredMs = this.context.ticker().nowMs();
		try {
			return run(exchange, record, passed, model,
					new Writer(exchange, record, body, chat, enteredMs, model.answerDeadlineMs()));
		}
		finally {
			long nowMs = this.context.ticker().nowMs();
			this.context.drafts().leave(passed.team().name(), nowMs - enteredMs, nowMs);
		}
	}

	private Outcome run(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed, Service.Model model,
			Writer writer) {
		DraftRequest request = new DraftRequest(record.requestId(), model,
				() -> this.context.gate().placement(passed.team().name()),
				(over) -> this.context.gate().awaitPlacement(passed.team().name(), over), writer.body.prompt(),
				writer.body.maxTokens(), record.startedAtMs() + model.answerDeadlineMs());
		DraftResult result = new DraftSession(request, this.context.chooser(), this.context.upstreams(),
				this.context.engines(), this.context.budget(), this.context.ticker())
			.run(writer);
		record.hops(result.hops());
		result.hops().forEach((hop) -> trace(record.span(), hop));
		this.context.metrics().retried(model.name(), result.attempts() - 1);
		this.context.metrics().tokens(model.name(), result.tokens().size());
		// Whoever has the whole answer may ask at once what happened.
		record.end(result.outcome());
		switch (result.outcome()) {
			case Outcome.Answered ignored -> writer.complete(result.tokens());
			case Outcome.NotRun notRun -> writer.fail(result.outcome(), notRun.refusal());
			case Outcome.Unknown unknown -> writer.fail(result.outcome(), unknown.refusal());
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
		this.context.tracing()
			.recordHop(parent, "stage " + hop.range(), attributes, hop.millis(), hop.end().equals("ok"));
	}

	private static Outcome refuse(Exchange exchange, RequestRecord record, Refusal refusal) {
		Outcome outcome = new Outcome.NotRun(refusal);
		exchange.reply(ErrorReplies.refusal(outcome, refusal, record.requestId()));
		return outcome;
	}

	/**
	 * Writes tokens in the format that the caller requested. Confined to the request's
	 * thread.
	 */
	private final class Writer implements TokenSink {

		private final Exchange exchange;

		private final RequestRecord record;

		private final DraftBody body;

		private final boolean chat;

		private final long enteredMs;

		private final long allowedMs;

		private boolean started;

		private int count;

		private long pausedMs;

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
			EntryContext context = DraftHandler.this.context;
			long nowMs = context.ticker().nowMs();
			if (this.count++ == 0) {
				context.metrics().firstToken(this.body.model(), nowMs - this.record.startedAtMs());
			}
			// A pause does not show that the engines are congested.
			long workedMs = nowMs - this.enteredMs - this.pausedMs;
			double estimatedMs = (double) workedMs * this.body.maxTokens() / this.count;
			context.drafts().recordProgress(nowMs, estimatedMs, this.allowedMs);
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
		public void paused(long durationMs) {
			this.pausedMs += durationMs;
		}

		@Override
		public boolean stopping() {
			return !DraftHandler.this.context.gate().hasTimeFor(0);
		}

		void complete(List<String> tokens) {
			if (!this.body.stream()) {
				Reply reply = new Reply(200, headers("application/json"),
						chunk(String.join("", tokens), "length").toString().getBytes(StandardCharsets.UTF_8));
				this.exchange.reply(reply);
				return;
			}
			begin();
			event(chunk("", "length").toString());
			event("[DONE]");
			this.exchange.end(List.of(Map.entry(ErrorReplies.OUTCOME, "answered")));
		}

		void fail(Outcome outcome, Refusal refusal) {
			if (!this.started) {
				this.exchange.reply(ErrorReplies.refusal(outcome, refusal, this.record.requestId()));
				return;
			}
			ObjectNode node = Json.object();
			node.put(ErrorReplies.OUTCOME, outcome.headerValue());
			node.set("error", ErrorReplies.error(refusal, this.record.requestId()));
			event(node.toString());
			this.exchange.abort();
		}

		private void begin() {
			if (!this.started) {
				this.started = true;
				this.exchange.begin(200, headers("text/event-stream"));
			}
		}

		private List<Map.Entry<String, String>> headers(String contentType) {
			List<Map.Entry<String, String>> headers = new ArrayList<>();
			headers.add(Map.entry("content-type", contentType));
			headers.add(Map.entry(ErrorReplies.OUTCOME, "answered"));
			headers.add(Map.entry(ErrorReplies.REQUEST_ID, this.record.requestId()));
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
