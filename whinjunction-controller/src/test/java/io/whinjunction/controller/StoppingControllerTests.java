package io.whinjunction.controller;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

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
 * Tests for {@link Controller#close()} while orders are being issued.
 */
class StoppingControllerTests {

	private static final String CONFIGURATION = """
			[places.poa]
			region = "rs-sul"
			failure-domains = ["poa-a"]
			[services.whin-llm]
			kind = "model"
			layers = 16
			layer-ranges = ["0-4", "4-8", "8-12", "12-16"]
			""";

	private static final String SPARE_REPORT = """
			{"service":"whin-llm","range":"","generation":1,"fencing":0,"running":0,"tokens-per-second":1}""";

	private static final long ORDER_REPLY_DELAY_MS = 500;

	private final AtomicInteger orders = new AtomicInteger();

	private final CountDownLatch firstOrderReceived = new CountDownLatch(1);

	// Four spare engines are ordered one after the other, and the controller is closed
	// while the first is answering. Guards against the other three orders being sent: an
	// engine that acts on an order of a stopped controller drops its caches although
	// nobody reads its reply.
	@Test
	void aClosedControllerIssuesNoFurtherOrder() throws InterruptedException {
		try (Closer closer = new Closer()) {
			FakeObjectStore store = new FakeObjectStore();
			ObjectNode document = (ObjectNode) new TomlMapper().readTree(CONFIGURATION);
			store.write(Manifest.KEY, new Manifest(1, document, "n").toJson(), ObjectStore.ABSENT);
			for (int i = 0; i < 4; i++) {
				HttpServer engine = closer
					.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), this::handleEngineRequest));
				store.putInstance(
						new Instance("spare-" + i, "whin-llm", "127.0.0.1:" + engine.port(), "poa-a", "kind-1", false));
			}
			HttpServer platform = closer
				.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), new PlatformServer(store)));
			Controller controller = new Controller(new ControllerSettings("c", "127.0.0.1", 0,
					"127.0.0.1:" + platform.port(), 1000, 5000, 100, 4, 60));
			assertThat(this.firstOrderReceived.await(20, TimeUnit.SECONDS)).isTrue();
			controller.close();
			Thread.sleep(ORDER_REPLY_DELAY_MS);
			assertThat(this.orders).hasValue(1);
		}
	}

	private void handleEngineRequest(Exchange exchange) throws InterruptedException {
		if (exchange.request().path().equals("/orders")) {
			this.orders.incrementAndGet();
			this.firstOrderReceived.countDown();
			Thread.sleep(ORDER_REPLY_DELAY_MS);
			exchange.reply(Reply.json(200, "{}"));
		}
		else {
			exchange.reply(Reply.json(200, SPARE_REPORT));
		}
	}

}
