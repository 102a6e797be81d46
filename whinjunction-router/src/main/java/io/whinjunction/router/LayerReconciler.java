package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.whinjunction.chain.Engine;
import io.whinjunction.chain.EngineKind;
import io.whinjunction.chain.FleetPlan;
import io.whinjunction.chain.LayerMove;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.Placement;
import io.whinjunction.chain.ReportedEngine;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.routing.RoutedService;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * Issues the orders that {@link LayerPlanner} plans, while this process holds the lease.
 * <p>
 * Invariants: no order is issued after the lease expired by this process's own clock.
 * Each order carries the fencing number and the number of orders that the engine had
 * begun, so that the engine refuses a late or duplicate order. An engine that requested a
 * backoff is neither queried nor given an order until its end. Nothing is planned for
 * engines that this router may be cut off from. Confined to the event loop.
 */
final class LayerReconciler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The interval between two plans, in milliseconds; a plan also follows each change.
	 */
	private static final long PLAN_INTERVAL_MS = 250;

	/**
	 * The interval between two surveys of all engines, in milliseconds: half of what a
	 * slow engine is let be, at a cost of less than one status query per second and
	 * engine.
	 */
	private static final long SURVEY_INTERVAL_MS = 1500;

	/**
	 * The minimum interval between two additional copies in a failure domain, in
	 * milliseconds: by then the first copy is loaded and has taken over its share of the
	 * load.
	 */
	private static final long RELIEF_INTERVAL_MS = 2000;

	/** The slowdown above which an engine is reported to peers. */
	private static final double REPORTED_SLOWDOWN = 1.2;

	/** The time that an order may take beyond its load time, in milliseconds. */
	private static final long ORDER_SLACK_MS = 2000;

	/**
	 * How long no further engine must have appeared before an empty failure domain is
	 * planned, in milliseconds. Engines appear within about two seconds of each other; a
	 * plan for the first few of them would give one engine half of the model.
	 */
	private static final long SETTLE_MS = 1500;

	/** The reason of an order that is dropped because its engine is another one now. */
	private static final String GONE = "restarted-or-gone";

	/**
	 * The reason of an order that is dropped because its engine leaves or requested a
	 * backoff.
	 */
	private static final String NOT_ACCEPTING = "leaving-or-backoff";

	/** Repairs take no layer away, so an order stays valid whatever its engine holds. */
	private static final Predicate<EngineReport> REPAIR = (report) -> true;

	/** The time limit for the status query before an order, in milliseconds. */
	private static final long STATUS_TIMEOUT_MS = 600;

	private final EventLoop loop;

	private final RouterContext router;

	private final EngineControl engines;

	private final Leadership leadership;

	private final LayerPlanner.Cache planCache = new LayerPlanner.Cache();

	private final MoveGate moves;

	private final Map<String, PendingOrder> pendingOrders = new HashMap<>();

	private final Map<String, Long> relievedAtMs = new HashMap<>();

	private final Map<String, Double> slowdowns = new HashMap<>();

	private final Map<String, Settling> settling = new HashMap<>();

	private boolean stopped;

	LayerReconciler(RouterContext router, EngineControl engines, Leadership leadership) {
		this.loop = router.loop();
		this.router = router;
		this.engines = engines;
		this.leadership = leadership;
		this.moves = new MoveGate(router::nowMs, router.metrics());
	}

	void start() {
		this.loop.scheduleAtFixedRate(this::plan, PLAN_INTERVAL_MS, PLAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::survey, SURVEY_INTERVAL_MS, SURVEY_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Queries the status of all engines and logs it; the load of a path can be read from
	 * the log.
	 */
	private void survey() {
		RoutingConfiguration configuration = this.router.configuration();
		if (this.stopped || configuration == null || !this.leadership.holds()) {
			this.slowdowns.clear();
			return;
		}
		for (RoutedService service : configuration.services()) {
			if (service.chained() && judges(service)) {
				this.router.directory().active(service).forEach((state) -> survey(state.upstream()));
			}
		}
	}

	private void survey(Upstream upstream) {
		if (this.router.availability().backingOff(upstream.incarnation())) {
			return;
		}
		this.engines.queryStatus(upstream, STATUS_TIMEOUT_MS, (report) -> {
			logger.atInfo()
				.log("event=engine-state engine=%s domain=%s kind=%s listed=%s report=\"%s\"", upstream.incarnation(),
						upstream.failureDomain(), upstream.kind(), upstream.held(), report.orElse(null));
			if (report.isPresent() && !this.router.directory().confirmIncarnation(upstream, report.get())) {
				this.slowdowns.remove(upstream.incarnation());
				return;
			}
			double slowdown = report.map(EngineReport::pace).orElse(1.0);
			if (slowdown > REPORTED_SLOWDOWN) {
				this.slowdowns.put(upstream.incarnation(), slowdown);
			}
			else {
				this.slowdowns.remove(upstream.incarnation());
			}
		});
	}

	/**
	 * Returns the slowdown of engines found by the surveys, by incarnation.
	 * @return a live view; empty while another router leads
	 */
	Map<String, Double> slowdowns() {
		return this.slowdowns;
	}

	void stop() {
		this.stopped = true;
	}

	/** Plans and issues orders if this process leads. */
	void plan() {
		RoutingConfiguration configuration = this.router.configuration();
		if (this.stopped || configuration == null || !this.leadership.holds()) {
			return;
		}
		for (RoutedService service : configuration.services()) {
			if (service.chained() && judges(service)) {
				plan(service);
			}
		}
	}

	private boolean judges(RoutedService service) {
		return this.router.reachability().of(service.name()).judgesUpstreams();
	}

	private void plan(RoutedService service) {
		ModelProfile profile = service.model();
		removeCompleted(profile);
		List<ReportedEngine> fleet = new ArrayList<>();
		logUnsuitable(service);
		for (UpstreamState upstream : this.router.directory().active(service)) {
			EngineKind kind = profile.kinds().get(upstream.upstream().kind());
			if (!this.router.engineMonitor().lost(upstream.incarnation())
					&& (upstream.upstream().held() != null || acceptsOrders(upstream.incarnation()))) {
				fleet.add(new ReportedEngine(engine(upstream.upstream(), kind), upstream.upstream().held()));
			}
		}
		List<Engine> state = fleet.stream().map(ReportedEngine::engine).toList();
		Set<String> unsettled = unsettled(service.name(), state);
		FleetPlan plan = LayerPlanner.planFleet(profile, fleet, this.planCache,
				(domain) -> this.moves.allowed(service.name(), domain, engines(domain, state)));
		for (Placement placement : plan.repairs()) {
			if (!unsettled.contains(placement.engine().failureDomain())) {
				order(placement, REPAIR);
			}
		}
		for (LayerMove move : this.moves.due(service.name(), plan)) {
			String domain = move.placement().engine().failureDomain();
			order(move.placement(), (report) -> this.moves.begin(service.name(), engines(domain, state), move, report));
		}
		if (plan.repairs().isEmpty() && plan.moves().isEmpty()) {
			relieve(profile,
					state.stream().filter((engine) -> !plan.moving().contains(engine.failureDomain())).toList());
		}
	}

	private static Set<String> engines(String domain, List<Engine> state) {
		return state.stream()
			.filter((engine) -> engine.failureDomain().equals(domain))
			.map(Engine::id)
			.collect(Collectors.toSet());
	}

	private void logUnsuitable(RoutedService service) {
		for (UpstreamState state : this.router.directory().listed(service.name())) {
			Upstream upstream = state.upstream();
			if (!service.canUse(upstream.kind(), upstream.held())) {
				logger.atWarning()
					.atMostEvery(10, TimeUnit.SECONDS)
					.log("event=engine-not-planned engine=%s kind=%s layers=%s", upstream.incarnation(),
							upstream.kind(), upstream.held());
			}
		}
	}

	private void relieve(ModelProfile profile, List<Engine> state) {
		long nowMs = this.router.nowMs();
		for (Placement placement : LayerPlanner.relieve(profile, state, (engine) -> usedRatio(profile, engine))) {
			String domain = placement.engine().failureDomain();
			Long lastMs = this.relievedAtMs.get(domain);
			if (lastMs == null || nowMs - lastMs > RELIEF_INTERVAL_MS) {
				this.relievedAtMs.put(domain, nowMs);
				order(placement, REPAIR);
			}
		}
	}

	private double usedRatio(ModelProfile profile, Engine engine) {
		UpstreamState state = this.router.directory().find(engine.id());
		boolean holds = state != null && state.upstream().held() != null;
		return holds ? this.router.chooser().usedRatio(profile, engine.kind(), state, this.router.nowMs()) : 0;
	}

	private Set<String> unsettled(String service, List<Engine> engines) {
		Map<String, Integer> counts = new HashMap<>();
		Set<String> holding = new HashSet<>();
		for (Engine engine : engines) {
			counts.merge(engine.failureDomain(), 1, Integer::sum);
			if (engine.held() != null) {
				holding.add(engine.failureDomain());
			}
		}
		Set<String> unsettled = new HashSet<>();
		counts.forEach((domain, count) -> {
			Settling before = this.settling.get(service + "/" + domain);
			long nowMs = this.router.nowMs();
			if (before == null || count > before.engines()) {
				this.settling.put(service + "/" + domain, new Settling(count, nowMs));
			}
			boolean fresh = before == null || count > before.engines() || nowMs - before.sinceMs() < SETTLE_MS;
			if (fresh && !holding.contains(domain)) {
				unsettled.add(domain);
			}
		});
		return unsettled;
	}

	private Engine engine(Upstream upstream, EngineKind kind) {
		PendingOrder order = this.pendingOrders.get(upstream.incarnation());
		LayerRange held = (order != null) ? order.layers() : upstream.held();
		return new Engine(upstream.incarnation(), upstream.address(), upstream.failureDomain(), kind, held, false);
	}

	private void removeCompleted(ModelProfile profile) {
		long nowMs = this.router.nowMs();
		this.pendingOrders.entrySet().removeIf((entry) -> {
			UpstreamState state = this.router.directory().find(entry.getKey());
			PendingOrder order = entry.getValue();
			return state == null || order.layers().equals(state.upstream().held())
					|| nowMs - order.sinceMs() > timeoutMs(profile, order);
		});
	}

	private static long timeoutMs(ModelProfile profile, PendingOrder order) {
		double loadedRatio = (double) (order.layers().end() - order.layers().first()) / profile.layers();
		return (long) (2 * loadedRatio * profile.loadSeconds() * 1000) + ORDER_SLACK_MS;
	}

	private boolean acceptsOrders(String engine) {
		UpstreamState state = this.router.directory().find(engine);
		return (state == null || !state.leaving()) && !this.router.availability().backingOff(engine);
	}

	private void order(Placement placement, Predicate<EngineReport> stillValid) {
		Engine engine = placement.engine();
		UpstreamState planned = this.router.directory().find(engine.id());
		if (planned == null || !acceptsOrders(engine.id())) {
			logDropped(engine, (planned != null) ? NOT_ACCEPTING : GONE);
			return;
		}
		this.pendingOrders.put(engine.id(), new PendingOrder(placement.layers(), this.router.nowMs()));
		this.engines.queryStatus(planned.upstream(), STATUS_TIMEOUT_MS, (report) -> {
			UpstreamState state = this.router.directory().find(engine.id());
			if (!acceptsOrders(engine.id())) {
				this.pendingOrders.remove(engine.id());
				logDropped(engine, NOT_ACCEPTING);
			}
			else if (state == null || (report.isPresent()
					&& !this.router.directory().confirmIncarnation(state.upstream(), report.get()))) {
				// The engine has restarted: it counts its orders from zero and holds
				// none of the layers that the plan was based on.
				logDropped(engine, GONE);
			}
			else if (report.isEmpty()) {
				logDropped(engine, "no-report");
			}
			else if (!this.leadership.holds()) {
				logDropped(engine, "no-lease");
			}
			else if (!stillValid.test(report.get())) {
				this.pendingOrders.remove(engine.id());
				logDropped(engine, "changed");
			}
			else {
				place(state.upstream(), placement.layers(), report.get());
			}
		});
	}

	private static void logDropped(Engine engine, String reason) {
		logger.atWarning().log("event=order-dropped engine=%s reason=%s", engine.id(), reason);
	}

	private void place(Upstream engine, LayerRange layers, EngineReport report) {
		EngineControl.PlaceOrder order = new EngineControl.PlaceOrder(layers, this.leadership.fencing(),
				report.orders());
		this.engines.place(engine, order, (reply) -> onReply(engine, order, reply));
	}

	private void onReply(Upstream engine, EngineControl.PlaceOrder order, OrderReply reply) {
		logger.atInfo()
			.log("event=order engine=%s domain=%s layers=%s fencing=%d expected=%d reply=\"%s\"", engine.incarnation(),
					engine.failureDomain(), order.layers(), order.fencing(), order.expectedOrders(), reply);
		if (!acceptsOrders(engine.incarnation())) {
			// Planned again once the engine accepts orders.
			this.pendingOrders.remove(engine.incarnation());
		}
		if (reply instanceof OrderReply.Fenced) {
			this.leadership.fenced();
		}
	}

	/**
	 * An order that has not been completed.
	 *
	 * @param layers the layers that the engine will hold
	 * @param sinceMs when the order was issued
	 */
	private record PendingOrder(LayerRange layers, long sinceMs) {
	}

	/**
	 * The maximum number of engines that a failure domain has had.
	 *
	 * @param engines the number of engines
	 * @param sinceMs when that number was reached
	 */
	private record Settling(int engines, long sinceMs) {
	}

}
