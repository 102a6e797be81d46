package io.whinjunction.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.configuration.Service;
import io.whinjunction.engine.EngineClient;
import io.whinjunction.engine.EngineClient.EngineReport;
import io.whinjunction.engine.EngineClient.LoadOrder;
import io.whinjunction.engine.HttpEngineClient;
import io.whinjunction.http.HttpCaller;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.http.server.Reply;
import io.whinjunction.lease.LeaderElector;
import io.whinjunction.order.PlacementPlanner;
import io.whinjunction.order.PlacementPlanner.Move;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.platform.HttpObjectStore;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.platform.ObjectStore.Instances;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.time.Closer;
import io.whinjunction.time.Ticker;
import tools.jackson.databind.node.ObjectNode;

/**
 * One candidate for giving orders to engines. It is never on a request's path.
 * <p>
 * Invariant: an order is given only while the lease is held by this process's own clock,
 * and none after {@link #close()}; it carries the lease's fencing number. The loop is one
 * thread; the operators' port only reads.
 */
public final class Controller implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String LEASE_KEY = "controller/lease";

	private static final int CONNECT_MS = 500;

	private static final int IDLE_CONNECTION_MS = 10_000;

	private static final long SWEEP_EVERY_MS = 60_000;

	private final ControllerSettings settings;

	private final Ticker ticker = Ticker.system();

	private final Closer closer = new Closer();

	private final ObjectStore store;

	private final EngineClient engines;

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final LeaderElector lease;

	private final ClaimSweeper sweeper;

	private final Thread loop;

	private long sweptAtMs;

	private volatile boolean closed;

	/**
	 * Starts a candidate.
	 * @param settings its settings
	 */
	public Controller(ControllerSettings settings) {
		this.settings = settings;
		HttpCaller caller = this.closer.register(new HttpCaller(CONNECT_MS, IDLE_CONNECTION_MS));
		this.store = new HttpObjectStore(caller, settings.platform(), settings.platformMs());
		this.engines = new HttpEngineClient(caller);
		this.lease = new LeaderElector(this.store, LEASE_KEY, settings.id(), settings.leaseMs(), this.ticker,
				() -> UUID.randomUUID().toString());
		this.sweeper = new ClaimSweeper(this.store, settings.claimsKeptS(), () -> System.currentTimeMillis() / 1000);
		this.closer.register(
				HttpServer.start(HttpServerSettings.plain(settings.host(), settings.operatorPort()), this::operators));
		this.loop = Thread.ofPlatform().name("whin-controller").start(this::run);
	}

	@Override
	public void close() {
		this.closed = true;
		this.loop.interrupt();
		try {
			this.loop.join(this.settings.platformMs() * 2L);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.lease.resign();
		this.closer.close();
	}

	private void run() {
		while (!this.closed) {
			try {
				step();
				this.ticker.sleepMs(this.settings.periodMs());
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				logger.atSevere().withCause(ex).log("a round failed and the next one follows");
			}
		}
	}

	private void step() {
		boolean held = this.lease.holds();
		this.lease.renewOrAcquire();
		if (this.lease.holds() != held) {
			logger.atInfo()
				.log("controller %s %s the lease, fencing %d", this.settings.id(),
						this.lease.holds() ? "holds" : "lost", this.lease.fencing());
		}
		if (this.lease.holds()) {
			readConfiguration();
			order();
			sweep();
		}
	}

	private void readConfiguration() {
		if (this.store.read(Manifest.KEY) instanceof Read.Found found) {
			Manifest manifest = Manifest.parse(found.value());
			if (manifest != null) {
				this.configuration.offer(manifest);
			}
		}
	}

	private void order() {
		if (!(this.store.instances() instanceof Instances.Listed listed)) {
			// Without the list nothing can be planned; what runs goes on.
			return;
		}
		List<Upstream> upstreams = new ArrayList<>();
		int loading = 0;
		for (Instance instance : listed.instances()) {
			if (!(this.configuration.configuration().services().get(instance.service()) instanceof Service.Model)) {
				continue;
			}
			EngineReport report = this.engines.report(instance.address());
			if (report == null) {
				continue;
			}
			loading += report.loading() ? 1 : 0;
			upstreams.add(new Upstream(instance.id(), instance.service(), instance.address(), instance.failureDomain(),
					report.range(), report.generation(), report.tokensPerSecond(), report.running(),
					instance.leaving() || report.leaving()));
		}
		for (Move move : PlacementPlanner.plan(this.configuration.configuration(), upstreams,
				this.settings.loadsAtOnce(), loading)) {
			give(move);
		}
	}

	private void give(Move move) {
		Upstream upstream = move.upstream();
		// Asked at the last moment: the calls before may have outlasted the lease, and a
		// stop interrupts them. An order sent then would be read by nobody, and logged as
		// not taken while the engine drops its caches for it.
		if (this.closed || !this.lease.holds()) {
			return;
		}
		boolean taken = this.engines.order(upstream.address(),
				new LoadOrder(upstream.service(), move.range(), upstream.generation(), this.lease.fencing()));
		logger.atInfo()
			.log("ordered %s to hold layers %s, fencing %d: %s", upstream.id(), move.range(), this.lease.fencing(),
					taken ? "taken" : "refused or not answered");
	}

	private void sweep() {
		if (this.ticker.nowMs() - this.sweptAtMs >= SWEEP_EVERY_MS) {
			this.sweptAtMs = this.ticker.nowMs();
			this.sweeper.step();
		}
	}

	private void operators(Exchange exchange) {
		switch (exchange.request().path()) {
			case "/healthz", "/readyz" -> exchange.reply(Reply.text(200, "ok\n"));
			case "/status" -> {
				ObjectNode node = Json.object();
				node.put("id", this.settings.id());
				node.put("holds_lease", this.lease.holds());
				node.put("fencing", this.lease.fencing());
				node.put("revision", this.configuration.configuration().revision());
				exchange.reply(Reply.json(200, node.toString()));
			}
			default -> exchange.reply(Reply.text(404, "the paths are /healthz /readyz /status\n"));
		}
	}

}
