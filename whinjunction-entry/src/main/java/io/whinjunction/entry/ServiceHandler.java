package io.whinjunction.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.whinjunction.configuration.Service;
import io.whinjunction.http.Call;
import io.whinjunction.http.CallResult;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Reply;
import io.whinjunction.http.server.Request;
import io.whinjunction.once.ActionClaims.Claimed;
import io.whinjunction.once.ActionName;
import io.whinjunction.once.Claim;
import io.whinjunction.once.StoredAnswer;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.outcome.Refusal.Code;
import io.whinjunction.pipeline.PipelineChooser.Choice;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamLoad;
import io.whinjunction.session.Hop;

/**
 * Passes calls on to plain services.
 * <p>
 * Invariant: a call that may not be repeated is written to at most one upstream, at most
 * once; with an idempotency key this holds across entries and repeats of the caller. Safe
 * for all threads.
 */
final class ServiceHandler {

	private static final int RETRY_AFTER_S = 1;

	private static final int MAX_KEY_CHARS = 256;

	/** Headers of one hop, of the caller's identity, and of this system's own. */
	private static final Set<String> NOT_PASSED = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length",
			"authorization", "expect", "http2-settings", "traceparent", Answers.OUTCOME, Answers.REQUEST_ID);

	private final EntryParts parts;

	ServiceHandler(EntryParts parts) {
		this.parts = parts;
	}

	Outcome handle(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed, String path) {
		String rest = path.substring(CallerHandler.SERVICES.length());
		int slash = rest.indexOf('/');
		String name = (slash >= 0) ? rest.substring(0, slash) : rest;
		if (!(passed.service(name).orElse(null) instanceof Service.Plain service)) {
			return notRun(exchange, record, Gate.unknownService(passed, name));
		}
		record.service(name);
		Refusal refusal = Admission.enter(this.parts, this.parts.calls(), passed.team(), service.callTimeoutMs(),
				exchange);
		if (refusal != null) {
			return notRun(exchange, record, refusal);
		}
		long enteredMs = this.parts.ticker().nowMs();
		try {
			String target = (slash >= 0) ? rest.substring(slash) : "/";
			String query = exchange.request().query();
			Sending sending = new Sending(exchange, record, passed, service,
					query.isEmpty() ? target : target + "?" + query);
			return dispatch(sending);
		}
		finally {
			long nowMs = this.parts.ticker().nowMs();
			this.parts.calls().paced(nowMs, nowMs - enteredMs, service.callTimeoutMs());
			this.parts.calls().leave(passed.team().name(), nowMs - enteredMs, nowMs);
		}
	}

	private Outcome dispatch(Sending sending) {
		Request request = sending.exchange.request();
		if (sending.service.repeatableMethods().contains(request.method())) {
			return finish(sending, send(sending, true));
		}
		Optional<String> key = request.header("idempotency-key");
		if (key.isEmpty()) {
			// Without a key each request is an action of its own.
			return finish(sending, send(sending, false));
		}
		if (key.get().isBlank() || key.get().length() > MAX_KEY_CHARS) {
			return notRun(sending.exchange, sending.record, Refusal.permanent(Code.BAD_REQUEST,
					"The idempotency-key is empty or longer than " + MAX_KEY_CHARS + " characters."));
		}
		return once(sending, key.get());
	}

	private Outcome once(Sending sending, String key) {
		Request request = sending.exchange.request();
		ActionName action = new ActionName(sending.passed.team().name(), sending.service.name(), key);
		String bodyHash = ActionName.sha256(request.method().getBytes(StandardCharsets.UTF_8),
				sending.target.getBytes(StandardCharsets.UTF_8), request.body());
		Span span = this.parts.tracing().startChildSpan(sending.record.span(), "claim");
		Claimed claimed = this.parts.claims().claim(action, bodyHash);
		span.end();
		return switch (claimed) {
			case Claimed.Mine mine -> sendClaimed(sending, mine.claim());
			case Claimed.Answered answered -> replay(sending, answered.answer());
			case Claimed.InDoubt ignored -> unknown(sending,
					Refusal.temporary(Code.ACTION_IN_DOUBT,
							"The first request with this idempotency-key is running, or its fate is unknown; "
									+ "it is never sent again.",
							RETRY_AFTER_S));
			case Claimed.OtherBody ignored ->
				notRun(sending.exchange, sending.record, Refusal.permanent(Code.IDEMPOTENCY_KEY_REUSED,
						"This idempotency-key was used with another method, path or body."));
			case Claimed.StoreDown ignored -> platformDown(sending);
			case Claimed.NotThere ignored -> platformDown(sending);
		};
	}

	private Outcome platformDown(Sending sending) {
		return notRun(sending.exchange, sending.record, Refusal.temporary(Code.PLATFORM_UNAVAILABLE,
				"The action could not be claimed, so it was not sent.", RETRY_AFTER_S));
	}

	private Outcome sendClaimed(Sending sending, Claim claim) {
		Sent sent = send(sending, false);
		switch (sent) {
			case Sent.Answered answered -> this.parts.claims()
				.answered(claim, new StoredAnswer(answered.response().status(), passed(answered.response().headers()),
						answered.response().body()));
			case Sent.NotSent ignored -> this.parts.claims().release(claim);
			case Sent.Lost ignored -> {
				// The claim stays without an answer: nobody sends this action again.
			}
		}
		return finish(sending, sent);
	}

	private Outcome replay(Sending sending, StoredAnswer answer) {
		boolean bodyGone = answer.headers().stream().anyMatch((header) -> header.getKey().equals("whin-body-kept"));
		if (bodyGone) {
			return unknown(sending, Refusal.permanent(Code.ACTION_IN_DOUBT,
					"The action ran with status " + answer.status() + "; its answer was too large to keep."));
		}
		sending.exchange
			.reply(new Reply(answer.status(), answer.headers(), answer.body()).with(Answers.OUTCOME, "answered")
				.with(Answers.REQUEST_ID, sending.record.requestId())
				.with("whin-replayed", "true"));
		return new Outcome.Answered();
	}

	// Sends to one upstream after the other. Before a byte is written another may be
	// tried; after that only where the call may be repeated, and while the budget lasts.
	private Sent send(Sending sending, boolean repeatable) {
		this.parts.budget().requested();
		Set<String> avoided = new HashSet<>();
		boolean lost = false;
		while (true) {
			Choice choice = this.parts.chooser().plain(sending.service, sending.passed.placement(), avoided);
			if (!(choice instanceof Choice.Chosen chosen)) {
				return lost ? new Sent.Lost("no upstream left to try") : new Sent.NotSent(refusal(sending, choice));
			}
			Upstream upstream = chosen.pipeline().stages().get(0);
			CallResult result = call(sending, upstream, repeatable);
			if (result instanceof CallResult.Response response) {
				return new Sent.Answered(response);
			}
			avoided.add(upstream.id());
			lost |= result instanceof CallResult.Lost;
			boolean mayRetry = (!lost || repeatable) && this.parts.budget().tryRetry();
			if (!mayRetry) {
				return lost ? new Sent.Lost("the upstream broke off or was silent")
						: new Sent.NotSent(Refusal.temporary(Code.NO_UPSTREAM,
								"No upstream of '" + sending.service.name() + "' could be reached.", RETRY_AFTER_S));
			}
			this.parts.metrics().retried(sending.service.name(), 1);
		}
	}

	private CallResult call(Sending sending, Upstream upstream, boolean repeatable) {
		Request request = sending.exchange.request();
		UpstreamLoad load = this.parts.upstreams().load(upstream.id());
		long startMs = this.parts.ticker().nowMs();
		load.start();
		CallResult result;
		try {
			// A call that may not be repeated takes a new connection: on a kept one that
			// has silently died, it would be written and its fate unknown.
			result = this.parts.caller()
				.call(new Call(request.method(), upstream.address(), sending.target, forwarded(sending), request.body(),
						sending.service.callTimeoutMs(), !repeatable));
		}
		finally {
			load.end();
		}
		long tookMs = this.parts.ticker().nowMs() - startMs;
		boolean well = result instanceof CallResult.Response;
		if (well) {
			load.succeeded(tookMs);
		}
		else {
			load.failed(this.parts.ticker().nowMs());
		}
		sending.record.hops(List.of(new Hop(1, upstream.id(), upstream.failureDomain(), null, 0, 1, tookMs,
				well ? "ok" : result.getClass().getSimpleName())));
		this.parts.tracing()
			.recordHop(sending.record.span(), "call " + sending.service.name(),
					Attributes.builder().put("whin.upstream", upstream.id()).build(), tookMs, well);
		return result;
	}

	private List<Map.Entry<String, String>> forwarded(Sending sending) {
		List<Map.Entry<String, String>> headers = new ArrayList<>(passed(sending.exchange.request().headers()));
		Map<String, String> trace = new HashMap<>();
		this.parts.tracing().inject(sending.record.span(), trace);
		trace.forEach((name, value) -> headers.add(Map.entry(name, value)));
		headers.add(Map.entry(Answers.REQUEST_ID, sending.record.requestId()));
		return headers;
	}

	private Outcome finish(Sending sending, Sent sent) {
		return switch (sent) {
			case Sent.Answered answered -> {
				sending.exchange.reply(new Reply(answered.response().status(), passed(answered.response().headers()),
						answered.response().body())
					.with(Answers.OUTCOME, "answered")
					.with(Answers.REQUEST_ID, sending.record.requestId()));
				yield new Outcome.Answered();
			}
			case Sent.NotSent notSent -> notRun(sending.exchange, sending.record, notSent.refusal());
			case Sent.Lost lost -> unknown(sending, Refusal.permanent(Code.UPSTREAM_FAILED,
					"The call was written and " + lost.reason() + "; whether it ran is not known."));
		};
	}

	private static Refusal refusal(Sending sending, Choice choice) {
		return (choice instanceof Choice.NonePermitted)
				? Refusal.permanent(Code.PLACE_NOT_PERMITTED,
						"No place permitted for team '" + sending.passed.team().name() + "' has '"
								+ sending.service.name() + "'.")
				: Refusal.temporary(Code.NO_UPSTREAM,
						"No permitted upstream of '" + sending.service.name() + "' is alive.", RETRY_AFTER_S);
	}

	private static List<Map.Entry<String, String>> passed(List<Map.Entry<String, String>> headers) {
		return headers.stream()
			.filter((header) -> !NOT_PASSED.contains(header.getKey().toLowerCase(Locale.ROOT)))
			.toList();
	}

	private static Outcome notRun(Exchange exchange, RequestRecord record, Refusal refusal) {
		Outcome outcome = new Outcome.NotRun(refusal);
		exchange.reply(Answers.refusal(outcome, refusal, record.requestId()));
		return outcome;
	}

	private static Outcome unknown(Sending sending, Refusal refusal) {
		Outcome outcome = new Outcome.Unknown(refusal);
		sending.exchange.reply(Answers.refusal(outcome, refusal, sending.record.requestId()));
		return outcome;
	}

	private record Sending(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed, Service.Plain service,
			String target) {
	}

	/**
	 * What became of a call.
	 */
	private sealed interface Sent {

		record Answered(CallResult.Response response) implements Sent {
		}

		record NotSent(Refusal refusal) implements Sent {
		}

		record Lost(String reason) implements Sent {
		}

	}

}
