package io.whinjunction.entry;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.http.server.Reply;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.standins.EngineServer;
import io.whinjunction.standins.FakeEngine;
import io.whinjunction.standins.ReferenceModel;
import io.whinjunction.time.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an entry whose upstreams state in their answers that they leave, or request
 * not to be called.
 */
class UpstreamNoticesTests {

	private static final int RETRY_AFTER_S = 2;

	private static final long PROPAGATION_MS = 500;

	private static final long OTHER_DELAY_MS = 100;

	/** Drafts go on for longer than an engine is left alone after a failure. */
	private static final long DRAFT_PAUSE_MS = 60;

	private static final int TOKENS = 60;

	private static final int STEPS_BEFORE_SHEDDING = 5;

	private final Closer closer = new Closer();

	private final AtomicLong askedAtNs = new AtomicLong();

	private final List<Call> calls = new CopyOnWriteArrayList<>();

	@AfterEach
	void stop() {
		this.closer.close();
	}

	// Guards against calls to a plain upstream that turned one away and named the time
	// after which it takes calls again. Its caller gets that 503, other callers are
	// served
	// elsewhere.
	@Test
	void aPlainUpstreamGetsNoCallsWithinItsRetryAfter() throws InterruptedException {
		LocalSystem system = this.closer.register(new LocalSystem().entries(1));
		putPlain(system, "booking-a", this::turnAway);
		putPlain(system, "booking-b", UpstreamNoticesTests::answerSlowly);
		system.configure();
		awaitUpstreams(system, "booking-b");

		List<Integer> statuses = callFor(system, RETRY_AFTER_S * 1000);

		assertThat(statuses.stream().filter((status) -> status == 503).count()).isEqualTo(1);
		assertThat(withinRetryAfter("/")).isZero();
	}

	// Guards against a refusal that tells callers to come back while the only upstream
	// still wants nothing.
	@Test
	void callersAreToldWhenTheOnlyUpstreamTakesCallsAgain() {
		LocalSystem system = this.closer.register(new LocalSystem().entries(1));
		putPlain(system, "booking-a", this::turnAway);
		system.configure();
		awaitUpstreams(system, "booking-a");
		call(system);

		HttpTestClient.Response refused = call(system);

		assertThat(refused.status()).isEqualTo(503);
		assertThat(refused.outcome()).isEqualTo("not-run");
		assertThat(refused.header("retry-after")).hasValue(Integer.toString(RETRY_AFTER_S));
		assertThat(this.calls).hasSize(1);
	}

	@Test
	void aPlainUpstreamThatAnswersThatItLeavesGetsNoFurtherCalls() throws InterruptedException {
		LocalSystem system = this.closer.register(new LocalSystem().entries(1));
		putPlain(system, "booking-a", (exchange) -> exchange.reply(Reply.json(200, "{}").with("whin-leaving", "1")));
		putPlain(system, "booking-b", UpstreamNoticesTests::answerSlowly);
		system.configure();
		awaitUpstreams(system, "booking-b");

		List<Integer> statuses = callFor(system, 3000);

		assertThat(statuses).containsOnly(200);
		assertThat(this.calls.stream().filter((call) -> call.instance().equals("booking-a")).count()).isEqualTo(1);
	}

	// Guards against steps and status queries that go on to an engine within its
	// Retry-After. Drafts run on the other engines with its layers.
	@Test
	void anEngineGetsNeitherStepsNorStatusQueriesWithinItsRetryAfter() throws InterruptedException {
		LocalSystem system = this.closer.register(new LocalSystem().engines(0).entries(1).configure());
		EngineServer engine = replaceEngine(system, (exchange) -> {
			if (exchange.request().path().equals("/steps") && this.askedAtNs.get() == 0) {
				turnAway(exchange);
				return true;
			}
			return false;
		});
		assertThat(engine).isNotNull();

		long endNs = System.nanoTime() + 20_000_000_000L;
		while (this.askedAtNs.get() == 0 && System.nanoTime() < endNs) {
			assertThat(draft(system)).isEqualTo(200);
		}
		for (int index = 0; index < 20; index++) {
			assertThat(draft(system)).isEqualTo(200);
			Thread.sleep(RETRY_AFTER_S * 1000 / 20);
		}

		assertThat(this.askedAtNs.get()).isPositive();
		assertThat(withinRetryAfter("/steps")).isZero();
		assertThat(withinRetryAfter("/report")).isZero();
		LocalSystem.await(() -> this.calls.stream()
			.anyMatch((call) -> call.path().equals("/report") && call.atNs() > this.askedAtNs.get() + retryAfterNs()));
	}

	@Test
	void anEngineThatAnswersAStepWithLeavingGetsNoFurtherDrafts() throws InterruptedException {
		LocalSystem system = this.closer.register(new LocalSystem().engines(0).entries(1).configure());
		AtomicLong leftAtNs = new AtomicLong();
		replaceEngine(system, (exchange) -> {
			if (exchange.request().path().equals("/steps")) {
				leftAtNs.compareAndSet(0, System.nanoTime());
				exchange.reply(Reply.text(409, "leaving").with("whin-leaving", "1"));
				return true;
			}
			return false;
		});

		long endNs = System.nanoTime() + 20_000_000_000L;
		while (leftAtNs.get() == 0 && System.nanoTime() < endNs) {
			assertThat(draft(system)).isEqualTo(200);
		}
		for (int index = 0; index < 30; index++) {
			assertThat(draft(system)).isEqualTo(200);
			Thread.sleep(DRAFT_PAUSE_MS);
		}

		assertThat(this.calls.stream().filter((call) -> call.path().equals("/steps")).count()).isEqualTo(1);
	}

	// Guards against a stream that is cut in the middle since all engines of a range turn
	// away its next step at the same time, with most of its time left.
	@Test
	void aBegunDraftGoesOnAfterTheRetryAfterOfAllEnginesOfARange() {
		LocalSystem system = this.closer.register(new LocalSystem().engines(0).entries(1).configure());
		Set<String> shedding = shedOnceInMidStream(system);

		HttpTestClient.Response answer = stream(system);

		assertThat(shedding).hasSize(3);
		assertThat(answer.body()).endsWith("data: [DONE]\n\n");
		assertThat(HttpTestClient.tokens(answer.body()))
			.isEqualTo(ReferenceModel.draft("hello", LocalSystem.LAYERS, TOKENS));
	}

	// Guards against an entry that admits fewer drafts after a pause of its engines,
	// since
	// it takes the pause for congestion.
	@Test
	void aPauseOfTheEnginesDoesNotLowerTheLimitOfDrafts() {
		LocalSystem system = this.closer.register(new LocalSystem().engines(0)
			.entries(1)
			.configure("step-timeout-ms = 1000", "step-timeout-ms = 1000\nanswer-deadline-ms = 5000"));
		Set<String> shedding = shedOnceInMidStream(system);
		int limit = limit(system);

		HttpTestClient.Response answer = stream(system);

		assertThat(shedding).hasSize(3);
		assertThat(answer.body()).endsWith("data: [DONE]\n\n");
		assertThat(limit(system)).isGreaterThanOrEqualTo(limit);
	}

	private Set<String> shedOnceInMidStream(LocalSystem system) {
		AtomicInteger steps = new AtomicInteger();
		Set<String> shedding = ConcurrentHashMap.newKeySet();
		for (String failureDomain : List.of("poa-a", "poa-b", "cxs-a")) {
			replaceEngine(system, failureDomain, (exchange) -> {
				if (exchange.request().path().equals("/steps") && steps.getAndIncrement() >= STEPS_BEFORE_SHEDDING
						&& shedding.add(failureDomain)) {
					turnAway(exchange);
					return true;
				}
				return false;
			});
		}
		return shedding;
	}

	private static HttpTestClient.Response stream(LocalSystem system) {
		return HttpTestClient.draft(system.entry(0).callerPort(), "key-1", "hello", TOKENS, true);
	}

	private static int limit(LocalSystem system) {
		String status = HttpTestClient.get(system.entry(0).operatorPort(), "/status").body();
		return Integer.parseInt(status.replaceAll("(?s).*\"limit\":(\\d+).*", "$1"));
	}

	private void turnAway(Exchange exchange) {
		this.askedAtNs.compareAndSet(0, System.nanoTime());
		exchange.reply(Reply.text(503, "busy").with("retry-after", Integer.toString(RETRY_AFTER_S)));
	}

	// Slow, so that calls would prefer the other upstream.
	private static void answerSlowly(Exchange exchange) throws InterruptedException {
		Thread.sleep(OTHER_DELAY_MS);
		exchange.reply(Reply.json(200, "{}"));
	}

	private void putPlain(LocalSystem system, String id, Handler handler) {
		system.store()
			.putInstance(new Instance(id, "booking-api", "127.0.0.1:" + serve(id, handler).port(), "poa-a", "", false));
	}

	private EngineServer replaceEngine(LocalSystem system, Interceptor interceptor) {
		return replaceEngine(system, "poa-a", interceptor);
	}

	// Serves the first engine of a failure domain at a new address, where the interceptor
	// answers before it.
	private EngineServer replaceEngine(LocalSystem system, String failureDomain, Interceptor interceptor) {
		String id = "engine-" + failureDomain + "-0-4";
		FakeEngine fake = system.engines().get(id);
		EngineServer engine = new EngineServer(fake, 0, 0);
		HttpServer server = serve(id, (exchange) -> {
			if (!interceptor.answers(exchange)) {
				engine.handle(exchange);
			}
		});
		String address = "127.0.0.1:" + server.port();
		system.store().putInstance(new Instance(id, "whin-llm", address, failureDomain, "kind-1", false));
		awaitUpstreams(system, address);
		return engine;
	}

	private HttpServer serve(String instance, Handler handler) {
		return this.closer.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), (exchange) -> {
			this.calls.add(new Call(instance, exchange.request().path(), System.nanoTime()));
			handler.handle(exchange);
		}));
	}

	private static void awaitUpstreams(LocalSystem system, String text) {
		LocalSystem.await(() -> HttpTestClient.get(system.entry(0).operatorPort(), "/upstreams").body().contains(text));
	}

	private static List<Integer> callFor(LocalSystem system, long durationMs) throws InterruptedException {
		List<Integer> statuses = new CopyOnWriteArrayList<>();
		long endNs = System.nanoTime() + durationMs * 1_000_000;
		while (System.nanoTime() < endNs) {
			statuses.add(call(system).status());
			Thread.sleep(20);
		}
		return statuses;
	}

	private static HttpTestClient.Response call(LocalSystem system) {
		return HttpTestClient.get(system.entry(0).callerPort(), "/services/booking-api/bookings/x", "authorization",
				"Bearer key-1");
	}

	private static int draft(LocalSystem system) {
		return HttpTestClient.draft(system.entry(0).callerPort(), "key-1", "x", 1, false).status();
	}

	private static long retryAfterNs() {
		return RETRY_AFTER_S * 1_000_000_000L;
	}

	private long withinRetryAfter(String pathPrefix) {
		long fromNs = this.askedAtNs.get() + PROPAGATION_MS * 1_000_000;
		long endNs = this.askedAtNs.get() + retryAfterNs();
		return this.calls.stream()
			.filter((call) -> !call.instance().equals("booking-b") && call.path().startsWith(pathPrefix))
			.filter((call) -> call.atNs() >= fromNs && call.atNs() < endNs)
			.count();
	}

	/** Answers some calls in place of the engine. */
	@FunctionalInterface
	private interface Interceptor {

		boolean answers(Exchange exchange);

	}

	/**
	 * A received call.
	 *
	 * @param instance the instance that received it
	 * @param path the path
	 * @param atNs when, by the monotonic clock
	 */
	private record Call(String instance, String path, long atNs) {
	}

}
