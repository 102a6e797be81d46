package io.whinjunction.controller;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.http.server.Reply;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.standins.FakeObjectStore;
import io.whinjunction.standins.PlatformServer;
import io.whinjunction.time.Closer;
import org.junit.jupiter.api.Test;
import tools.jackson.databind.node.ObjectNode;
import tools.jackson.dataformat.toml.TomlMapper;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a controller whose engines request not to be called.
 */
class EngineBackoffTests {

	static final String CONFIGURATION = """
			[places.poa]
			region = "rs-sul"
			failure-domains = ["poa-a"]
			[services.whin-llm]
			kind = "model"
			layers = 4
			layer-ranges = ["0-2", "2-4"]
			""";

	private static final String REPORT = """
			{"service":"whin-llm","range":"%s","generation":1,"fencing":0,"running":0,"tokens-per-second":1}""";

	private static final int RETRY_AFTER_S = 2;

	private static final long PROPAGATION_MS = 500;

	private final AtomicLong askedAtNs = new AtomicLong();

	private final List<Long> calledAtNs = new CopyOnWriteArrayList<>();

	private final List<String> rangesOfSpare = new CopyOnWriteArrayList<>();

	// Guards against status queries each tenth of a second to an engine within its
	// Retry-After, and against its layers being ordered elsewhere as if it had crashed.
	@Test
	void anEngineIsNotQueriedWithinItsRetryAfterAndKeepsItsLayers() throws InterruptedException {
		runFor(RETRY_AFTER_S * 1000 + 1000, "2-4");

		assertThat(this.askedAtNs.get()).isPositive();
		assertThat(withinRetryAfter(this.calledAtNs)).isZero();
		assertThat(this.calledAtNs.getLast()).isGreaterThan(this.askedAtNs.get() + RETRY_AFTER_S * 1_000_000_000L);
		assertThat(this.rangesOfSpare).as("layers ordered from the spare engine").isNotEmpty().containsOnly("0-2");
	}

	@Test
	void anEmptyEngineGetsNoOrdersWithinItsRetryAfter() throws InterruptedException {
		runFor(RETRY_AFTER_S * 1000, "");

		assertThat(this.askedAtNs.get()).isPositive();
		assertThat(withinRetryAfter(this.calledAtNs)).isZero();
	}

	private void runFor(long durationMs, String range) throws InterruptedException {
		try (Closer closer = new Closer()) {
			FakeObjectStore store = new FakeObjectStore();
			ObjectNode document = (ObjectNode) new TomlMapper().readTree(CONFIGURATION);
			store.write(Manifest.KEY, new Manifest(1, document, "n").toJson(), ObjectStore.ABSENT);
			HttpServer busy = closer.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0),
					(exchange) -> answerBusy(exchange, range)));
			HttpServer spare = closer
				.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), this::answerSpare));
			store.putInstance(new Instance("busy", "whin-llm", "127.0.0.1:" + busy.port(), "poa-a", "kind-1", false));
			HttpServer other = closer.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0),
					(exchange) -> exchange.reply(Reply.json(200, REPORT.formatted("0-2")))));
			store.putInstance(new Instance("other", "whin-llm", "127.0.0.1:" + other.port(), "poa-a", "kind-1", false));
			store.putInstance(new Instance("spare", "whin-llm", "127.0.0.1:" + spare.port(), "poa-a", "kind-1", false));
			HttpServer platform = closer
				.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), new PlatformServer(store)));
			closer.register(new Controller(new ControllerSettings("c", "127.0.0.1", 0, "127.0.0.1:" + platform.port(),
					1000, 5000, 100, 4, 60)));
			long endNs = System.nanoTime() + 20_000_000_000L;
			while (this.askedAtNs.get() == 0 && System.nanoTime() < endNs) {
				Thread.sleep(20);
			}
			Thread.sleep(durationMs);
		}
	}

	// Turns away the third call only.
	private void answerBusy(Exchange exchange, String range) {
		this.calledAtNs.add(System.nanoTime());
		if (this.calledAtNs.size() == 3) {
			this.askedAtNs.set(System.nanoTime());
			exchange.reply(Reply.text(503, "busy").with("retry-after", Integer.toString(RETRY_AFTER_S)));
		}
		else {
			exchange.reply(Reply.json(200, REPORT.formatted(range)));
		}
	}

	private void answerSpare(Exchange exchange) {
		if (exchange.request().path().equals("/orders")) {
			this.rangesOfSpare.add(Json.MAPPER.readTree(exchange.request().body()).path("range").asString());
		}
		exchange.reply(Reply.json(200, REPORT.formatted("")));
	}

	private long withinRetryAfter(List<Long> atNs) {
		long fromNs = this.askedAtNs.get() + PROPAGATION_MS * 1_000_000;
		long endNs = this.askedAtNs.get() + RETRY_AFTER_S * 1_000_000_000L;
		return atNs.stream().filter((at) -> at >= fromNs && at < endNs).count();
	}

}
