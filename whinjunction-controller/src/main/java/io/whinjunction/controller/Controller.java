package io.whinjunction.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.availability.RequestedBackoffs;
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
 * A controller: one candidate for the lease under which orders are issued to engines. It
 * is never on the path of a request.
 * <p>
 * Invariant: an order is issued only while this process holds the lease according to its
 * own clock, and never after {@link #close()}. Each order carries the fencing number of
 * the lease. An engine that requested a backoff is neither queried nor given an order
 * until its end. A controller that reaches no engine leaves the lease to others for a
 * while. Planning and issuing run on one thread; the operator port only reads state.
 */
public final class Controller implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String LEASE_KEY = "controller/lease";

	private static final int CONNECT_MS = 500;

	private static final int IDLE_CONNECTION_MS = 10_000;

	private static final long SWEEP_INTERVAL_MS = 60_000;

	/** Rounds in a row without the reply of any engine until the lease is released. */
	private static final int MAX_ROUNDS_WITHOUT_REPLY = 2;

	/** For how many times to live another controller may acquire a released lease. */
	private static final int ASIDE_LEASE_TIMES = 2;

	private final ControllerSettings settings;

	private final Ticker ticker = Ticker.system();

	private final Closer closer = new Closer();

	private final ObjectStore store;

	private final EngineClient engines;

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final LeaderElector lease;

	private final ClaimSweeper sweeper;

	/** By the address of the engine. */
	private final RequestedBackoffs backoffs = new RequestedBackoffs();

	/** The last report of each listed engine, by its instance id. */
	private final Map<String, EngineReport> reports = new HashMap<>();

	private final Thread loop;

	private long lastSweepMs;

	/** Rounds in a row in which no engine replied. */
	private int roundsWithoutReply;

	/** Until when this controller leaves the lease to others, in milliseconds. */
	private long asideUntilMs = Long.MIN_VALUE;

	private volatile boolean closed;

	/**
	 * Starts the controller.
	 * @param settings the settings
	 */
	public Controller(ControllerSettings settings) {
		this.settings = settings;
		HttpCaller caller = this.closer.register(new HttpCaller(CONNECT_MS, IDLE_CONNECTION_MS));
		this.store = new HttpObjectStore(caller, settings.platform(), settings.platformMs());
		this.engines = new HttpEngineClient(caller, (address, status, notice) -> this.backoffs.request(address,
				notice.backoffMs(status), this.ticker.nowMs()));
		this.lease = new LeaderElector(this.store, LEASE_KEY, settings.id(), settings.leaseMs(), this.ticker,
				() -> UUID.randomUUID().toString());
		this.sweeper = new ClaimSweeper(this.store, settings.claimsKeptS(), () -> System.currentTimeMillis() / 1000);
		this.closer.register(HttpServer.start(HttpServerSettings.plain(settings.host(), settings.operatorPort()),
				this::handleOperatorRequest));
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
				logger.atSevere().withCause(ex).log("control round failed; starting the next round");
			}
		}
	}

	private void step() {
		if (this.ticker.nowMs() < this.asideUntilMs) {
			return;
		}
		boolean heldBefore = this.lease.holds();
		this.lease.renewOrAcquire();
		if (this.lease.holds() != heldBefore) {
			logger.atInfo()
				.log("controller %s %s the lease, fencing %d", this.settings.id(),
						this.lease.holds() ? "holds" : "lost", this.lease.fencing());
		}
		if (this.lease.holds()) {
			readConfiguration();
			issueOrders();
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

	private void issueOrders() {
		if (!(this.store.instances() instanceof Instances.Listed listed)) {
			// Without the list of instances nothing can be planned; engines keep their
			// layers.
			return;
		}
		this.reports.keySet().retainAll(listed.instances().stream().map(Instance::id).toList());
		List<Upstream> upstreams = new ArrayList<>();
		int loading = 0;
		int engineCount = 0;
		for (Instance instance : listed.instances()) {
			if (!(this.configuration.configuration().services().get(instance.service()) instanceof Service.Model)) {
				continue;
			}
			engineCount++;
			EngineReport report = report(instance);
			if (report == null) {
				continue;
			}
			loading += report.loading() ? 1 : 0;
			upstreams.add(new Upstream(instance.id(), instance.service(), instance.address(), instance.failureDomain(),
					report.range(), report.generation(), report.tokensPerSecond(), report.running(),
					instance.leaving() || report.leaving()));
		}
		if (engineCount > 0 && upstreams.isEmpty()) {
			standAsideIfCutOff(engineCount);
			return;
		}
		this.roundsWithoutReply = 0;
		for (Move move : PlacementPlanner.plan(this.configuration.configuration(), upstreams,
				this.settings.loadsAtOnce(), loading)) {
			issueOrder(move);
		}
	}

	// Whether the engines have ended or this controller is cut off from them can't be
	// told
	// here; another controller may reach them.
	private void standAsideIfCutOff(int engineCount) {
		this.roundsWithoutReply++;
		if (this.roundsWithoutReply < MAX_ROUNDS_WITHOUT_REPLY) {
			return;
		}
		this.roundsWithoutReply = 0;
		logger.atWarning()
			.log("controller %s releases the lease: none of %d engines replied", this.settings.id(), engineCount);
		this.lease.resign();
		this.asideUntilMs = this.ticker.nowMs() + ASIDE_LEASE_TIMES * this.settings.leaseMs();
	}

	// The layers of an engine that requested a backoff are still there: without its last
	// report they would be loaded elsewhere.
	private EngineReport report(Instance instance) {
		if (!backingOff(instance.address())) {
			EngineReport report = this.engines.report(instance.address());
			if (report != null) {
				this.reports.put(instance.id(), report);
			}
			if (!backingOff(instance.address())) {
				return report;
			}
		}
		return this.reports.get(instance.id());
	}

	private boolean backingOff(String address) {
		return this.backoffs.active(address, this.ticker.nowMs());
	}

	private void issueOrder(Move move) {
		Upstream upstream = move.upstream();
		if (backingOff(upstream.address())) {
			logger.atInfo().log("no order to %s, which requested a backoff", upstream.id());
			return;
		}
		// Checked immediately before sending: the lease may have expired during the calls
		// before, and a stop interrupts them. Nobody would read the reply to an order
		// sent then: it would be logged as not accepted although the engine drops its
		// caches.
		if (this.closed || !this.lease.holds()) {
			return;
		}
		boolean accepted = this.engines.order(upstream.address(),
				new LoadOrder(upstream.service(), move.range(), upstream.generation(), this.lease.fencing()));
		logger.atInfo()
			.log("ordered %s to hold layers %s, fencing %d: %s", upstream.id(), move.range(), this.lease.fencing(),
					accepted ? "accepted" : "refused or not answered");
	}

	private void sweep() {
		if (this.ticker.nowMs() - this.lastSweepMs >= SWEEP_INTERVAL_MS) {
			this.lastSweepMs = this.ticker.nowMs();
			this.sweeper.sweep();
		}
	}

	private void handleOperatorRequest(Exchange exchange) {
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
