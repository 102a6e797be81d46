package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.whinjunction.chain.Engine;
import io.whinjunction.chain.EngineKind;
import io.whinjunction.chain.LayerPlanner;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.chain.Placement;
import io.whinjunction.chain.ReplicaCountCache;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.routing.RoutedService;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * Gives the orders that {@link LayerPlanner} plans, while this process holds the lease.
 * <p>
 * Invariants: no order is given after the lease ran out by this process's own clock; each
 * order names the fencing number and how many orders the engine had begun, so that one
 * that is late or doubled is refused by the engine. Confined to the event loop.
 */
final class LayerKeeper {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between two plans, in milliseconds, besides those after each change. */
	private static final long PERIOD_MS = 250;

	/**
	 * The pause between two surveys of all engines, in milliseconds: half of what a slow
	 * engine is let be, at a price of under one question a second for each engine.
	 */
	private static final long SURVEY_MS = 1500;

	/**
	 * The pause between two copies in a failure domain, in milliseconds: one is loaded
	 * and has taken its part of the load by then.
	 */
	private static final long RELIEF_PAUSE_MS = 2000;

	/** An engine that works more than this much slower than usual is told of. */
	private static final double SLOW_PACE = 1.2;

	/** What an order may take beyond its load time, in milliseconds. */
	private static final long ORDER_SLACK_MS = 2000;

	/**
	 * How long no engine must have come before an empty failure domain is planned, in
	 * milliseconds. Engines come within about two seconds of each other; a plan for the
	 * first few of them gives one engine half of the model.
	 */
	private static final long SETTLE_MS = 1500;

	/** How long an engine may take to say how it is before an order, in milliseconds. */
	private static final long REPORT_MS = 600;

	private final EventLoop loop;

	private final RouterContext router;

	private final EngineControl engines;

	private final Leadership leadership;

	private final ReplicaCountCache replicaCounts = new ReplicaCountCache();

	private final Map<String, Ordered> ordered = new HashMap<>();

	private final Map<String, Long> relievedAtMs = new HashMap<>();

	private final Map<String, Double> paces = new HashMap<>();

	private final Map<String, Settling> settling = new HashMap<>();

	private boolean stopped;

	LayerKeeper(RouterContext router, EngineControl engines, Leadership leadership) {
		this.loop = router.loop();
		this.router = router;
		this.engines = engines;
		this.leadership = leadership;
	}

	void start() {
		this.loop.scheduleAtFixedRate(this::plan, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::survey, SURVEY_MS, SURVEY_MS, TimeUnit.MILLISECONDS);
	}

	/** Asks all engines how they are, for the log: from it a path's load can be read. */
	private void survey() {
		RoutingConfiguration configuration = this.router.configuration();
		if (this.stopped || configuration == null || !this.leadership.holds()) {
			this.paces.clear();
			return;
		}
		for (RoutedService service : configuration.services()) {
			if (service.chained()) {
				this.router.directory().active(service.name()).forEach((state) -> survey(state.upstream()));
			}
		}
	}

	private void survey(Upstream upstream) {
		this.engines.report(upstream.address(), REPORT_MS, (report) -> {
			logger.atInfo()
				.log("event=engine-state engine=%s domain=%s kind=%s listed=%s report=\"%s\"", upstream.incarnation(),
						upstream.failureDomain(), upstream.kind(), upstream.held(), report.orElse(null));
			if (report.isPresent() && !this.router.directory().confirmIncarnation(upstream, report.get())) {
				this.paces.remove(upstream.incarnation());
				return;
			}
			double pace = report.map(EngineReport::pace).orElse(1.0);
			if (pace > SLOW_PACE) {
				this.paces.put(upstream.incarnation(), pace);
			}
			else {
				this.paces.remove(upstream.incarnation());
			}
		});
	}

	/**
	 * How much slower than usual engines work, by name, as far as it was surveyed.
	 * @return a live view; empty where another router leads
	 */
	Map<String, Double> paces() {
		return this.paces;
	}

	void stop() {
		this.stopped = true;
	}

	/** Plans and orders, where this process leads. */
	void plan() {
		RoutingConfiguration configuration = this.router.configuration();
		if (this.stopped || configuration == null || !this.leadership.holds()) {
			return;
		}
		for (RoutedService service : configuration.services()) {
			if (service.chained()) {
				plan(service);
			}
		}
	}

	private void plan(RoutedService service) {
		ModelProfile profile = service.model();
		forgetSettled(profile);
		List<Engine> state = new ArrayList<>();
		for (UpstreamState upstream : this.router.directory().active(service.name())) {
			EngineKind kind = profile.kinds().get(upstream.upstream().kind());
			if (kind != null && !this.router.watch().lost(upstream.upstream().incarnation())) {
				state.add(engine(upstream.upstream(), kind));
			}
		}
		Set<String> unsettled = unsettled(service.name(), state);
		List<Placement> repairs = LayerPlanner.plan(profile, state, this.replicaCounts);
		for (Placement placement : repairs) {
			if (!unsettled.contains(placement.engine().failureDomain())) {
				order(profile, placement);
			}
		}
		if (repairs.isEmpty()) {
			relieve(profile, state);
		}
	}

	private void relieve(ModelProfile profile, List<Engine> state) {
		long nowMs = this.router.nowMs();
		for (Placement placement : LayerPlanner.relieve(profile, state, (engine) -> usedPart(profile, engine))) {
			String domain = placement.engine().failureDomain();
			Long lastMs = this.relievedAtMs.get(domain);
			if (lastMs == null || nowMs - lastMs > RELIEF_PAUSE_MS) {
				this.relievedAtMs.put(domain, nowMs);
				order(profile, placement);
			}
		}
	}

	private double usedPart(ModelProfile profile, Engine engine) {
		UpstreamState state = this.router.directory().find(engine.id());
		boolean holds = state != null && state.upstream().held() != null;
		return holds ? this.router.chooser().usedPart(profile, engine.kind(), state, this.router.nowMs()) : 0;
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
		Ordered order = this.ordered.get(upstream.incarnation());
		LayerRange held = (order != null) ? order.layers() : upstream.held();
		return new Engine(upstream.incarnation(), upstream.address(), upstream.failureDomain(), kind, held, false);
	}

	private void forgetSettled(ModelProfile profile) {
		long nowMs = this.router.nowMs();
		this.ordered.entrySet().removeIf((entry) -> {
			UpstreamState state = this.router.directory().find(entry.getKey());
			Ordered order = entry.getValue();
			return state == null || order.layers().equals(state.upstream().held())
					|| nowMs - order.sinceMs() > mostMs(profile, order);
		});
	}

	private static long mostMs(ModelProfile profile, Ordered order) {
		double share = (double) (order.layers().end() - order.layers().first()) / profile.layers();
		return (long) (2 * share * profile.loadSeconds() * 1000) + ORDER_SLACK_MS;
	}

	private void order(ModelProfile profile, Placement placement) {
		Engine engine = placement.engine();
		this.ordered.put(engine.id(), new Ordered(placement.layers(), this.router.nowMs()));
		this.engines.report(engine.address(), REPORT_MS, (report) -> {
			UpstreamState state = this.router.directory().find(engine.id());
			if (state == null || (report.isPresent()
					&& !this.router.directory().confirmIncarnation(state.upstream(), report.get()))) {
				// It has started again: it counts its orders anew and holds nothing of
				// what the plan was made for.
				dropped(engine, "restarted-or-gone");
			}
			else if (report.isEmpty()) {
				dropped(engine, "no-report");
			}
			else if (!this.leadership.holds()) {
				dropped(engine, "no-lease");
			}
			else {
				place(engine, placement.layers(), report.get());
			}
		});
	}

	private static void dropped(Engine engine, String reason) {
		logger.atWarning().log("event=order-dropped engine=%s reason=%s", engine.id(), reason);
	}

	private void place(Engine engine, LayerRange layers, EngineReport report) {
		EngineControl.PlaceOrder order = new EngineControl.PlaceOrder(layers, this.leadership.fencing(),
				report.orders());
		this.engines.place(engine.address(), order, (reply) -> took(engine, order, reply));
	}

	private void took(Engine engine, EngineControl.PlaceOrder order, OrderReply reply) {
		logger.atInfo()
			.log("event=order engine=%s domain=%s layers=%s fencing=%d expected=%d reply=\"%s\"", engine.id(),
					engine.failureDomain(), order.layers(), order.fencing(), order.expectedOrders(), reply);
		if (reply instanceof OrderReply.Fenced) {
			this.leadership.fenced();
		}
	}

	/**
	 * An order under way.
	 *
	 * @param layers what the engine will hold
	 * @param sinceMs when it was given
	 */
	private record Ordered(LayerRange layers, long sinceMs) {
	}

	/**
	 * How many engines a failure domain has had at most.
	 *
	 * @param engines how many
	 * @param sinceMs since when
	 */
	private record Settling(int engines, long sinceMs) {
	}

}
