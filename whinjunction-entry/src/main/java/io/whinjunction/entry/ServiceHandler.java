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
import io.whinjunction.once.ActionClaims.ClaimResult;
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
 * Forwards calls to plain services.
 * <p>
 * Invariant: a call that may not be repeated is written to at most one upstream, at most
 * once; with an idempotency key this holds across entries and repetitions by the caller.
 * Thread-safe.
 */
final class ServiceHandler {

	private static final int RETRY_AFTER_S = 1;

	private static final int MAX_KEY_CHARS = 256;

	/**
	 * Headers that are not forwarded: hop-by-hop headers, those that identify the caller,
	 * and those of this system.
	 */
	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length",
			"authorization", "expect", "http2-settings", "traceparent", ErrorReplies.OUTCOME, ErrorReplies.REQUEST_ID,
			CallResult.Response.LEAVING);

	private final EntryContext context;

	ServiceHandler(EntryContext context) {
		this.context = context;
	}

	Outcome handle(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed, String path) {
		String rest = path.substring(CallerHandler.SERVICES.length());
		int slash = rest.indexOf('/');
		String name = (slash >= 0) ? rest.substring(0, slash) : rest;
		if (!(passed.service(name).orElse(null) instanceof Service.Plain service)) {
			return notRun(exchange, record, Gate.unknownService(passed, name));
		}
		record.service(name);
		Refusal refusal = Admission.enter(this.context, this.context.calls(), passed.team(), service.callTimeoutMs(),
				exchange);
		if (refusal != null) {
			return notRun(exchange, record, refusal);
		}
		long enteredMs = this.context.ticker().nowMs();
		try {
			String target = (slash >= 0) ? rest.substring(slash) : "/";
			String query = exchange.request().query();
			PendingCall call = new PendingCall(exchange, record, passed, service,
					query.isEmpty() ? target : target + "?" + query);
			return dispatch(call);
		}
		finally {
			long nowMs = this.context.ticker().nowMs();
			this.context.calls().recordProgress(nowMs, nowMs - enteredMs, service.callTimeoutMs());
			this.context.calls().leave(passed.team().name(), nowMs - enteredMs, nowMs);
		}
	}

	private Outcome dispatch(PendingCall call) {
		Request request = call.exchange.request();
		if (call.service.repeatableMethods().contains(request.method())) {
			return finish(call, send(call, true));
		}
		Optional<String> key = request.header("idempotency-key");
		if (key.isEmpty()) {
			// Without a key each request is a separate action.
			return finish(call, send(call, false));
		}
		if (key.get().isBlank() || key.get().length() > MAX_KEY_CHARS) {
			return notRun(call.exchange, call.record, Refusal.permanent(Code.BAD_REQUEST,
					"The idempotency-key is empty or longer than " + MAX_KEY_CHARS + " characters."));
		}
		return callOnce(call, key.get());
	}

	private Outcome callOnce(PendingCall call, String key) {
		Request request = call.exchange.request();
		ActionName action = new ActionName(call.passed.team().name(), call.service.name(), key);
		String bodyHash = ActionName.sha256(request.method().getBytes(StandardCharsets.UTF_8),
				call.target.getBytes(StandardCharsets.UTF_8), request.body());
		Span span = this.context.tracing().startChildSpan(call.record.span(), "claim");
		ClaimResult claimed = this.context.claims().claim(action, bodyHash);
		span.end();
		return switch (claimed) {
			case ClaimResult.Acquired mine -> sendClaimed(call, mine.claim());
			case ClaimResult.Answered answered -> replay(call, answered.answer());
			case ClaimResult.InDoubt ignored -> unknown(call,
					Refusal.temporary(Code.ACTION_IN_DOUBT,
							"The first request with this idempotency-key is running, or its fate is unknown; "
									+ "it is never sent again.",
							RETRY_AFTER_S));
			case ClaimResult.BodyMismatch ignored ->
				notRun(call.exchange, call.record, Refusal.permanent(Code.IDEMPOTENCY_KEY_REUSED,
						"This idempotency-key was used with another method, path or body."));
			case ClaimResult.StoreUnavailable ignored -> platformDown(call);
			case ClaimResult.NotFound ignored -> platformDown(call);
		};
	}

	private Outcome platformDown(PendingCall call) {
		return notRun(call.exchange, call.record, Refusal.temporary(Code.PLATFORM_UNAVAILABLE,
				"The action could not be claimed, so it was not sent.", RETRY_AFTER_S));
	}

	private Outcome sendClaimed(PendingCall call, Claim claim) {
		CallOutcome outcome = send(call, false);
		switch (outcome) {
			case CallOutcome.Answered answered -> this.context.claims()
				.recordAnswer(claim, new StoredAnswer(answered.response().status(),
						passed(answered.response().headers()), answered.response().body()));
			case CallOutcome.NotSent ignored -> this.context.claims().release(claim);
			case CallOutcome.Lost ignored -> {
				// The claim stays without an answer, so that no entry sends this action
				// again.
			}
		}
		return finish(call, outcome);
	}

	private Outcome replay(PendingCall call, StoredAnswer answer) {
		boolean bodyDropped = answer.headers().stream().anyMatch((header) -> header.getKey().equals("whin-body-kept"));
		if (bodyDropped) {
			return unknown(call, Refusal.permanent(Code.ACTION_IN_DOUBT,
					"The action ran with status " + answer.status() + "; its answer was too large to keep."));
		}
		call.exchange
			.reply(new Reply(answer.status(), answer.headers(), answer.body()).with(ErrorReplies.OUTCOME, "answered")
				.with(ErrorReplies.REQUEST_ID, call.record.requestId())
				.with("whin-replayed", "true"));
		return new Outcome.Answered();
	}

	// Tries one upstream after the other, as long as the retry budget permits. After a
	// byte of the call may have been written, only repeatable calls are retried.
	private CallOutcome send(PendingCall call, boolean repeatable) {
		this.context.budget().recordRequest();
		Set<String> avoided = new HashSet<>();
		boolean lost = false;
		while (true) {
			Choice choice = this.context.chooser().plain(call.service, call.passed.placement(), avoided);
			if (!(choice instanceof Choice.Chosen chosen)) {
				return lost ? new CallOutcome.Lost("no upstream left to try")
						: new CallOutcome.NotSent(refusal(call, choice));
			}
			Upstream upstream = chosen.pipeline().stages().get(0);
			CallResult result = call(call, upstream, repeatable);
			if (result instanceof CallResult.Response response) {
				return new CallOutcome.Answered(response);
			}
			avoided.add(upstream.id());
			lost |= result instanceof CallResult.Lost;
			boolean mayRetry = (!lost || repeatable) && this.context.budget().tryRetry();
			if (!mayRetry) {
				return lost ? new CallOutcome.Lost("the upstream broke off or was silent")
						: new CallOutcome.NotSent(Refusal.temporary(Code.NO_UPSTREAM,
								"No upstream of '" + call.service.name() + "' could be reached.", RETRY_AFTER_S));
			}
			this.context.metrics().retried(call.service.name(), 1);
		}
	}

	private CallResult call(PendingCall call, Upstream upstream, boolean repeatable) {
		Request request = call.exchange.request();
		UpstreamLoad load = this.context.upstreams().load(upstream.id());
		long startMs = this.context.ticker().nowMs();
		load.start();
		CallResult result;
		try {
			// A call that may not be repeated uses a new connection: written to a kept
			// connection that has silently died, its outcome would be unknown.
			result = this.context.caller()
				.call(new Call(request.method(), upstream.address(), call.target, forwarded(call), request.body(),
						call.service.callTimeoutMs(), !repeatable));
		}
		finally {
			load.end();
		}
		long tookMs = this.context.ticker().nowMs() - startMs;
		boolean succeeded = result instanceof CallResult.Response;
		if (result instanceof CallResult.Response response) {
			this.context.upstreams().succeeded(upstream.id(), startMs, startMs + tookMs);
			this.context.upstreams().answered(upstream.id(), response.status(), response.notice(), startMs + tookMs);
		}
		else {
			load.failed(this.context.ticker().nowMs());
		}
		call.record.hops(List.of(new Hop(1, upstream.id(), upstream.failureDomain(), null, 0, 1, tookMs,
				succeeded ? "ok" : result.getClass().getSimpleName())));
		this.context.tracing()
			.recordHop(call.record.span(), "call " + call.service.name(),
					Attributes.builder().put("whin.upstream", upstream.id()).build(), tookMs, succeeded);
		return result;
	}

	private List<Map.Entry<String, String>> forwarded(PendingCall call) {
		List<Map.Entry<String, String>> headers = new ArrayList<>(passed(call.exchange.request().headers()));
		Map<String, String> trace = new HashMap<>();
		this.context.tracing().inject(call.record.span(), trace);
		trace.forEach((name, value) -> headers.add(Map.entry(name, value)));
		headers.add(Map.entry(ErrorReplies.REQUEST_ID, call.record.requestId()));
		return headers;
	}

	private Outcome finish(PendingCall call, CallOutcome outcome) {
		return switch (outcome) {
			case CallOutcome.Answered answered -> {
				call.exchange.reply(new Reply(answered.response().status(), passed(answered.response().headers()),
						answered.response().body())
					.with(ErrorReplies.OUTCOME, "answered")
					.with(ErrorReplies.REQUEST_ID, call.record.requestId()));
				yield new Outcome.Answered();
			}
			case CallOutcome.NotSent notSent -> notRun(call.exchange, call.record, notSent.refusal());
			case CallOutcome.Lost lost -> unknown(call, Refusal.permanent(Code.UPSTREAM_FAILED,
					"The call was written and " + lost.reason() + "; whether it ran is not known."));
		};
	}

	private static Refusal refusal(PendingCall call, Choice choice) {
		return switch (choice) {
			case Choice.NonePermitted ignored ->
				Refusal.permanent(Code.PLACE_NOT_PERMITTED, "No place permitted for team '" + call.passed.team().name()
						+ "' has '" + call.service.name() + "'.");
			case Choice.NoneAlive none -> Refusal.temporary(Code.NO_UPSTREAM,
					"No permitted upstream of '" + call.service.name() + "' is alive and takes work.",
					none.retryAfterS(RETRY_AFTER_S));
			case Choice.Chosen chosen -> throw new IllegalStateException("chosen: " + chosen);
		};
	}

	private static List<Map.Entry<String, String>> passed(List<Map.Entry<String, String>> headers) {
		return headers.stream()
			.filter((header) -> !NOT_FORWARDED.contains(header.getKey().toLowerCase(Locale.ROOT)))
			.toList();
	}

	private static Outcome notRun(Exchange exchange, RequestRecord record, Refusal refusal) {
		Outcome outcome = new Outcome.NotRun(refusal);
		exchange.reply(ErrorReplies.refusal(outcome, refusal, record.requestId()));
		return outcome;
	}

	private static Outcome unknown(PendingCall call, Refusal refusal) {
		Outcome outcome = new Outcome.Unknown(refusal);
		call.exchange.reply(ErrorReplies.refusal(outcome, refusal, call.record.requestId()));
		return outcome;
	}

	private record PendingCall(Exchange exchange, RequestRecord record, Gate.Verdict.Passed passed,
			Service.Plain service, String target) {
	}

	/**
	 * The outcome of a call.
	 */
	private sealed interface CallOutcome {

		record Answered(CallResult.Response response) implements CallOutcome {
		}

		record NotSent(Refusal refusal) implements CallOutcome {
		}

		record Lost(String reason) implements CallOutcome {
		}

	}

}
