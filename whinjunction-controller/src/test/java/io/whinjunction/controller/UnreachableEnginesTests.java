package io.whinjunction.controller;

import java.net.ServerSocket;
import java.util.function.BooleanSupplier;

import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.http.server.Reply;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.standins.FakeObjectStore;
import io.whinjunction.standins.PlatformServer;
import io.whinjunction.time.Closer;
import org.junit.jupiter.api.Test;
import tools.jackson.databind.node.ObjectNode;
import tools.jackson.dataformat.toml.TomlMapper;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a controller that reaches the store and no engine, or only some.
 */
class UnreachableEnginesTests {

	private static final String REPORT = """
			{"service":"whin-llm","range":"0-2","generation":1,"fencing":0,"running":0,"tokens-per-second":1}""";

	private static final int LEASE_MS = 1000;

	private static final long MAX_WAIT_MS = 10_000;

	private final FakeObjectStore store = new FakeObjectStore();

	// Guards against a controller that keeps the lease from others although it can't give
	// orders.
	@Test
	void aControllerThatReachesNoEngineReleasesTheLease() throws Exception {
		try (Closer closer = new Closer(); ServerSocket unused = new ServerSocket(0)) {
			int port = unused.getLocalPort();
			unused.close();
			start(closer, port);

			await(() -> holder().equals("c"));
			await(() -> holder().isEmpty());

			Thread.sleep(LEASE_MS);
			assertThat(holder()).as("another controller may acquire it").isEmpty();
		}
	}

	@Test
	void aControllerThatReachesAnEngineKeepsTheLease() throws Exception {
		try (Closer closer = new Closer(); ServerSocket unused = new ServerSocket(0)) {
			int port = unused.getLocalPort();
			unused.close();
			HttpServer engine = closer.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0),
					(exchange) -> exchange.reply(Reply.json(200, REPORT))));
			this.store
				.putInstance(new Instance("e-2", "whin-llm", "127.0.0.1:" + engine.port(), "poa-a", "kind-1", false));
			start(closer, port);
			await(() -> holder().equals("c"));

			for (int looked = 0; looked < 20; looked++) {
				Thread.sleep(LEASE_MS / 10);
				assertThat(holder()).isEqualTo("c");
			}
		}
	}

	private void start(Closer closer, int enginePort) {
		ObjectNode document = (ObjectNode) new TomlMapper().readTree(EngineBackoffTests.CONFIGURATION);
		this.store.write(Manifest.KEY, new Manifest(1, document, "n").toJson(), ObjectStore.ABSENT);
		this.store.putInstance(new Instance("e-1", "whin-llm", "127.0.0.1:" + enginePort, "poa-a", "kind-1", false));
		HttpServer platform = closer
			.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), new PlatformServer(this.store)));
		closer.register(new Controller(new ControllerSettings("c", "127.0.0.1", 0, "127.0.0.1:" + platform.port(), 1000,
				LEASE_MS, 100, 4, 60)));
	}

	private String holder() {
		return (this.store.read("controller/lease") instanceof Read.Found found)
				? Json.MAPPER.readTree(found.value().toString()).path("holder").asString("") : "";
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long untilNs = System.nanoTime() + MAX_WAIT_MS * 1_000_000;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).isLessThan(untilNs);
			Thread.sleep(10);
		}
	}

}
