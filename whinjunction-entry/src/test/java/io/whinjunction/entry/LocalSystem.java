package io.whinjunction.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

import io.whinjunction.configuration.ConfigurationReader;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.standins.BookingServer;
import io.whinjunction.standins.EngineServer;
import io.whinjunction.standins.FakeEngine;
import io.whinjunction.standins.FakeObjectStore;
import io.whinjunction.standins.FreePorts;
import io.whinjunction.standins.PlatformServer;
import io.whinjunction.time.Closer;
import io.whinjunction.time.Ticker;
import tools.jackson.databind.node.ObjectNode;
import tools.jackson.dataformat.toml.TomlMapper;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A complete system in one process, with real connections over loopback: a platform,
 * engines for four layer ranges in three failure domains, a booking service and entries.
 */
final class LocalSystem implements AutoCloseable {

	static final int LAYERS = 16;

	private static final List<String> RANGES = List.of("0-4", "4-8", "8-12", "12-16");

	private static final List<String> DOMAINS = List.of("poa-a", "poa-b", "cxs-a");

	private static final long AWAIT_MS = 30_000;

	private final Closer closer = new Closer();

	private final FakeObjectStore store = new FakeObjectStore();

	private final BookingServer booking = new BookingServer();

	private final Map<String, FakeEngine> engines = new LinkedHashMap<>();

	private final Map<String, HttpServer> engineServers = new LinkedHashMap<>();

	private final List<Entry> entries = new ArrayList<>();

	private final String platform;

	private final List<Integer> peerPorts = new ArrayList<>();

	private EntrySettings.Limits limits = new EntrySettings.Limits(256, 256, 64, 64 << 10, 8 << 10, 10_000, 4096);

	private EntrySettings.Tls tls;

	private Ticker ticker = Ticker.system();

	private int noticeMs;

	private int drainMs = 60_000;

	private volatile CountDownLatch mayStep = new CountDownLatch(0);

	LocalSystem() {
		this.platform = address(serve(new PlatformServer(this.store)));
	}

	LocalSystem engines(long stepMs) {
		for (String range : RANGES) {
			for (String domain : DOMAINS) {
				String id = "engine-" + domain + "-" + range;
				FakeEngine engine = new FakeEngine("whin-llm", LAYERS, LayerRange.parse(range), 1000, true);
				EngineServer steps = new EngineServer(engine, stepMs, 0);
				HttpServer server = serve((exchange) -> {
					if (exchange.request().path().equals("/steps")) {
						this.mayStep.await();
					}
					steps.handle(exchange);
				});
				this.engines.put(id, engine);
				this.engineServers.put(id, server);
				this.store.putInstance(new Instance(id, "whin-llm", address(server), domain, "kind-1", false));
			}
		}
		HttpServer server = serve(this.booking);
		for (String domain : DOMAINS) {
			this.store
				.putInstance(new Instance("booking-" + domain, "booking-api", address(server), domain, "", false));
		}
		return this;
	}

	/**
	 * Holds all new steps at the engines. A step that is held for longer than its timeout
	 * fails.
	 * @return releases the held steps
	 */
	Runnable holdSteps() {
		CountDownLatch held = new CountDownLatch(1);
		this.mayStep = held;
		return held::countDown;
	}

	LocalSystem limits(EntrySettings.Limits newLimits) {
		this.limits = newLimits;
		return this;
	}

	LocalSystem tls(EntrySettings.Tls newTls) {
		this.tls = newTls;
		return this;
	}

	LocalSystem stopping(int newNoticeMs, int newDrainMs) {
		this.noticeMs = newNoticeMs;
		this.drainMs = newDrainMs;
		return this;
	}

	LocalSystem ticker(Ticker newTicker) {
		this.ticker = newTicker;
		return this;
	}

	LocalSystem entries(int count) {
		for (int i = 0; i < count; i++) {
			this.peerPorts.add(FreePorts.next());
		}
		for (int i = 0; i < count; i++) {
			startEntry(i, this.platform);
		}
		return this;
	}

	/**
	 * Starts an entry and does not wait until it is ready.
	 * @param index the index of the entry, which also selects its failure domain
	 * @param platformAddress the address of the platform
	 * @return the entry
	 */
	Entry startEntry(int index, String platformAddress) {
		while (this.peerPorts.size() <= index) {
			this.peerPorts.add(FreePorts.next());
		}
		List<String> seeds = this.peerPorts.stream().map((port) -> "127.0.0.1:" + port).toList();
		EntrySettings settings = new EntrySettings("entry-" + index, DOMAINS.get(index % DOMAINS.size()), "127.0.0.1",
				0, 0, this.peerPorts.get(index), platformAddress, seeds, "", this.limits,
				new EntrySettings.Timing(1000, 500, 300, 100, 100, 2000, 1000, this.noticeMs, this.drainMs), this.tls);
		try {
			Entry entry = new Entry(settings, this.ticker);
			this.entries.add(entry);
			return entry;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Accepts the default configuration, with some lines replaced, and waits until every
	 * entry serves with it.
	 * @param replacements from, to, from, to...
	 * @return this system
	 */
	LocalSystem configure(String... replacements) {
		long revision = accept(replacements);
		for (Entry entry : this.entries) {
			await(() -> HttpTestClient.get(entry.operatorPort(), "/readyz").status() == 200
					&& HttpTestClient.get(entry.operatorPort(), "/status")
						.body()
						.contains("\"revision\":" + revision + ","));
			await(() -> HttpTestClient.get(entry.operatorPort(), "/upstreams").body().split("\"layers\":\"[0-9]").length
					- 1 >= this.engines.size());
		}
		return this;
	}

	long accept(String... replacements) {
		String toml = configuration();
		for (int i = 0; i < replacements.length; i += 2) {
			assertThat(toml).contains(replacements[i]);
			toml = toml.replace(replacements[i], replacements[i + 1]);
		}
		ObjectNode document = (ObjectNode) new TomlMapper().readTree(toml);
		assertThat(ConfigurationReader.check("test", document, 1))
			.isInstanceOf(ConfigurationReader.Checked.Valid.class);
		long version = ObjectStore.ABSENT;
		long revision = 0;
		if (this.store.read(Manifest.KEY) instanceof Read.Found found) {
			version = found.version();
			revision = Manifest.parse(found.value()).revision();
		}
		this.store.write(Manifest.KEY, new Manifest(revision + 1, document, "n").toJson(), version);
		return revision + 1;
	}

	String peerAddress(int index) {
		return "127.0.0.1:" + this.peerPorts.get(index);
	}

	FakeObjectStore store() {
		return this.store;
	}

	BookingServer booking() {
		return this.booking;
	}

	String platform() {
		return this.platform;
	}

	Entry entry(int index) {
		return this.entries.get(index);
	}

	Map<String, FakeEngine> engines() {
		return this.engines;
	}

	void killEngine(String id) {
		this.engineServers.get(id).close();
	}

	static void await(BooleanSupplier condition) {
		long endMs = System.nanoTime() / 1_000_000 + AWAIT_MS;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime() / 1_000_000).as("condition not met within %d ms", AWAIT_MS).isLessThan(endMs);
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	@Override
	public void close() {
		this.entries.forEach(Entry::close);
		this.closer.close();
	}

	private HttpServer serve(Handler handler) {
		return this.closer.register(HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), handler));
	}

	private static String address(HttpServer server) {
		return "127.0.0.1:" + server.port();
	}

	private static String configuration() {
		StringBuilder toml = new StringBuilder("""
				[places.poa]
				region = "rs-sul"
				failure-domains = ["poa-a", "poa-b"]
				[places.cxs]
				region = "rs-sul"
				failure-domains = ["cxs-a"]
				[services.whin-llm]
				kind = "model"
				layers = 16
				layer-ranges = ["0-4", "4-8", "8-12", "12-16"]
				checks-fencing = true
				step-timeout-ms = 1000
				[services.booking-api]
				kind = "plain"
				call-timeout-ms = 2000
				""");
		for (int i = 0; i < 10; i++) {
			toml.append("""
					[teams.team-%d]
					key-sha256 = ["%s"]
					services = ["whin-llm", "booking-api"]
					places = ["poa", "cxs"]
					rate-per-s = 100000
					""".formatted(i, sha256("key-" + i)));
		}
		return toml.toString();
	}

	private static String sha256(String key) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.getBytes()));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
