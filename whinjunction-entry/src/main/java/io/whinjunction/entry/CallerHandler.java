package io.whinjunction.entry;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.opentelemetry.api.trace.Span;
import io.whinjunction.entry.Gate.Verdict;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.Reply;
import io.whinjunction.http.server.Request;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.outcome.Refusal.Code;

/**
 * Handles the requests of callers. Thread-safe.
 */
final class CallerHandler implements Handler {

	static final String SERVICES = "/services/";

	private static final int ID_BYTES = 8;

	private final EntryContext context;

	private final DraftHandler drafts;

	private final ServiceHandler services;

	private final InFlightRequests inFlight;

	CallerHandler(EntryContext context, InFlightRequests inFlight) {
		this.context = context;
		this.drafts = new DraftHandler(context);
		this.services = new ServiceHandler(context);
		this.inFlight = inFlight;
	}

	@Override
	public Optional<Reply> refuseEarly(Request head) {
		if (!(this.context.gate().check(head) instanceof Verdict.Refused refused)) {
			return Optional.empty();
		}
		RequestRecord record = record(head);
		Outcome outcome = new Outcome.NotRun(refused.refusal());
		record.end(outcome);
		return Optional.of(ErrorReplies.refusal(outcome, refused.refusal(), record.requestId()));
	}

	@Override
	public void handle(Exchange exchange) {
		this.inFlight.begin();
		try {
			RequestRecord record = record(exchange.request());
			record.end(route(exchange, record));
			// The request stays in flight until the response is sent; otherwise a stop
			// would cut off the response to a slow reader.
			exchange.awaitSent();
		}
		finally {
			this.inFlight.end();
		}
	}

	private Outcome route(Exchange exchange, RequestRecord record) {
		// Checked again, since the state may have changed while the body arrived.
		Verdict verdict = this.context.gate().check(exchange.request());
		if (verdict instanceof Verdict.Refused refused) {
			return notRun(exchange, record, refused.refusal());
		}
		Verdict.Passed passed = (Verdict.Passed) verdict;
		record.passed(passed);
		String path = exchange.request().path();
		if (path.startsWith(SERVICES)) {
			return this.services.handle(exchange, record, passed, path);
		}
		boolean chat = path.equals("/v1/chat/completions");
		if (!chat && !path.equals("/v1/completions")) {
			return notRun(exchange, record, Refusal.permanent(Code.UNKNOWN_SERVICE,
					"The paths are /v1/completions, /v1/chat/completions and /services/NAME/..."));
		}
		if (!exchange.request().method().equals("POST")) {
			return notRun(exchange, record, Refusal.permanent(Code.BAD_REQUEST, "This path takes POST only."));
		}
		return this.drafts.handle(exchange, record, passed, chat);
	}

	private RequestRecord record(Request request) {
		byte[] id = new byte[ID_BYTES];
		ThreadLocalRandom.current().nextBytes(id);
		Map<String, String> headers = new HashMap<>();
		request.headers().forEach((header) -> headers.putIfAbsent(header.getKey(), header.getValue()));
		Span span = this.context.tracing().startServerSpan("caller " + request.method(), headers);
		return new RequestRecord(this.context, "r-" + HexFormat.of().formatHex(id), span);
	}

	private static Outcome notRun(Exchange exchange, RequestRecord record, Refusal refusal) {
		Outcome outcome = new Outcome.NotRun(refusal);
		exchange.reply(ErrorReplies.refusal(outcome, refusal, record.requestId()));
		return outcome;
	}

}
