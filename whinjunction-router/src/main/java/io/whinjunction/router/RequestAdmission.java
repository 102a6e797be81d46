package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.chain.Engine;
import io.whinjunction.chain.EngineKind;
import io.whinjunction.chain.LayerRoom;
import io.whinjunction.chain.ModelProfile;
import io.whinjunction.priority.AdmissionOutcome;
import io.whinjunction.priority.Lateness;
import io.whinjunction.priority.LoadLevel;
import io.whinjunction.priority.PriorityLine;
import io.whinjunction.priority.RequestRank;
import io.whinjunction.priority.RetryTimes;
import io.whinjunction.priority.ReturningRequests;
import io.whinjunction.priority.WaitingRequest;
import io.whinjunction.routing.RoutedService;

/**
 * Lets streams of a service begin, wait or be refused by their rank, if the configuration
 * in force gives its streams different ranks.
 * <p>
 * Invariants: only first attempts wait, at the router that has the caller; a request that
 * waits has not been sent, so its refusal is true; nothing waits for a service without
 * ranks or while this process stops; the timer runs only while something waits. Confined
 * to the event loop.
 */
final class RequestAdmission {

	/** The interval between two looks at what waits, in milliseconds. */
	private static final long LOOK_INTERVAL_MS = 20;

	/** How long a measured load is used, in milliseconds: peers report no more often. */
	private static final long LOAD_VALID_MS = PeerLink.PERIOD_MS;

	/** The expected time to a first event until one was measured, in milliseconds. */
	private static final long DEFAULT_FIRST_EVENT_MS = 100;

	private final RouterContext router;

	private final Map<String, ServiceState> services = new HashMap<>();

	/** {@code null} while nothing waits. */
	private ScheduledFuture<?> look;

	/**
	 * Creates an instance in which nothing waits.
	 * @param router the components of this process
	 */
	RequestAdmission(RouterContext router) {
		this.router = router;
	}

	/**
	 * Decides on a request that has not been sent. It begins by
	 * {@link ForwardSession#onAdmitted()} or is refused by
	 * {@link ForwardSession#onNotAdmitted}, possibly before this method returns.
	 * @param session the request
	 */
	void enter(ForwardSession session) {
		RoutedService service = session.service();
		if (!applies(service)) {
			release(service.name());
			session.onAdmitted();
			return;
		}
		long nowMs = this.router.nowMs();
		ServiceState state = this.services.computeIfAbsent(service.name(), (name) -> new ServiceState());
		// The load does not matter to the most urgent rank.
		boolean mayGiveWay = state.line.allowedRatio(rank(session), 1) < 1;
		double load = mayGiveWay ? measure(state, service, nowMs) : state.load.value();
		long fingerprint = session.identity().fingerprint().value();
		WaitingRequest request = new WaitingRequest(rank(session), String.valueOf(session.teamName()),
				Math.max(1, session.expectedTokens()), latestBeginMs(state, session, nowMs),
				state.returning.returned(fingerprint, nowMs));
		apply(state, state.line.enter(session, request, load, nowMs), load, nowMs);
		if (session.waits()) {
			RequestLog.admission(session, "waits", load, state.allowedRatio(session));
			startLooking();
		}
	}

	/**
	 * Forgets a request that ended.
	 * @param session the request
	 */
	void ended(ForwardSession session) {
		ServiceState state = this.services.get(session.service().name());
		if (state != null) {
			state.line.leave(session);
			state.running.remove(session);
		}
	}

	/**
	 * Returns when the caller of a request may come back that found no upstream.
	 * @param session the request
	 * @param atLeastMs the time before which nothing can serve it, in milliseconds
	 * @return milliseconds from now
	 */
	long retryAfterMs(ForwardSession session, long atLeastMs) {
		return applies(session.service())
				? RetryTimes.afterMs(atLeastMs, rank(session), session.leftMs(), this.router.random()) : atLeastMs;
	}

	static int rank(ForwardSession session) {
		return RequestRank.of(session.priority());
	}

	// Requests of a router that is cut off from the service are relayed, and what it
	// knows of the engines' load is old.
	private boolean applies(RoutedService service) {
		return service.chained() && !this.router.stopping() && this.router.configuration().ranked(service.name())
				&& this.router.reachability().of(service.name()).judgesUpstreams();
	}

	private long latestBeginMs(ServiceState state, ForwardSession session, long nowMs) {
		long targetMs = session.route().limits().targetLatencyMs();
		long firstEventMs = (long) (state.firstEvents.ratio(nowMs) * targetMs);
		long latestMs = Math.min(session.startedMs() + targetMs, nowMs + session.leftMs());
		return latestMs - Math.max(DEFAULT_FIRST_EVENT_MS, firstEventMs);
	}

	private void apply(ServiceState state, Map<ForwardSession, AdmissionOutcome> outcomes, double load, long nowMs) {
		outcomes.forEach((session, outcome) -> {
			if (!session.waits()) {
				return;
			}
			double ratio = state.allowedRatio(session);
			switch (outcome) {
				case AdmissionOutcome.Begin begin -> {
					state.running.put(session, new StreamPace());
					state.returning.began(session.identity().fingerprint().value());
					this.router.metrics()
						.admission(rank(session), (session.waitedMs() > 0) ? "begun-after-wait" : "begun");
					session.onAdmitted();
				}
				case AdmissionOutcome.Refuse refuse -> {
					long retryAfterMs = RetryTimes.afterMs(refuse.drainMs(), rank(session), session.leftMs(),
							this.router.random());
					state.returning.refused(session.identity().fingerprint().value(), nowMs + retryAfterMs);
					this.router.metrics().admission(rank(session), refuse.reason().logName());
					RequestLog.admission(session, refuse.reason().logName(), load, ratio);
					session.onNotAdmitted(refuse.reason().logName(), retryAfterMs);
				}
			}
		});
	}

	private void startLooking() {
		if (this.look == null) {
			this.look = this.router.loop()
				.scheduleWithFixedDelay(this::look, LOOK_INTERVAL_MS, LOOK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void look() {
		for (String name : List.copyOf(this.services.keySet())) {
			ServiceState state = this.services.get(name);
			if (state == null || state.line.waiting().isEmpty()) {
				continue;
			}
			RoutedService service = this.router.configuration().service(name);
			if (service == null || !applies(service)) {
				release(name);
				continue;
			}
			long nowMs = this.router.nowMs();
			double load = measure(state, service, nowMs);
			apply(state, state.line.poll(load, nowMs), load, nowMs);
		}
		if (this.look != null && this.services.values().stream().allMatch((state) -> state.line.waiting().isEmpty())) {
			this.look.cancel(false);
			this.look = null;
		}
	}

	private void release(String service) {
		ServiceState state = this.services.get(service);
		if (state == null) {
			return;
		}
		if (!this.router.configuration().ranked(service)) {
			this.services.remove(service);
		}
		state.line.clear().forEach(ForwardSession::onAdmitted);
	}

	private double measure(ServiceState state, RoutedService service, long nowMs) {
		if (nowMs - state.measuredAtMs < LOAD_VALID_MS) {
			return state.load.value();
		}
		state.measuredAtMs = nowMs;
		state.running.forEach((session, pace) -> pace.sample(session, state.firstEvents, state.gaps, nowMs));
		double usedRatio = usedRatio(service, nowMs);
		// Without any peer's report the engines would look nearly empty.
		boolean peersLost = this.router.peers().activeCount(nowMs) == 0 && this.router.peers().routerCount(nowMs) > 1;
		state.usedRatio = peersLost ? Math.max(usedRatio, state.usedRatio) : usedRatio;
		double late = Math.max(state.firstEvents.ratio(nowMs), state.gaps.ratio(nowMs));
		return state.load.update(Math.max(state.usedRatio, late));
	}

	private double usedRatio(RoutedService service, long nowMs) {
		ModelProfile profile = service.model();
		List<LayerRoom.Holder> holders = new ArrayList<>();
		for (UpstreamState state : this.router.directory().active(service)) {
			Upstream upstream = state.upstream();
			EngineKind kind = profile.kinds().get(upstream.kind());
			if (upstream.held() != null) {
				Engine engine = new Engine(state.incarnation(), upstream.address(), upstream.failureDomain(), kind,
						upstream.held(), false);
				holders.add(new LayerRoom.Holder(engine, this.router.chooser().usedRatio(profile, kind, state, nowMs)));
			}
		}
		LayerRoom room = LayerRoom.of(profile, holders);
		// While a layer has no holder, requests of all ranks are refused at once.
		return (room.holders(room.weakestLayer()) > 0) ? room.usedRatio() : 0;
	}

	/** What waits for, and runs at, one service. Confined to the event loop. */
	private static final class ServiceState {

		private final PriorityLine<ForwardSession> line = new PriorityLine<>();

		private final ReturningRequests returning = new ReturningRequests();

		private final Map<ForwardSession, StreamPace> running = new HashMap<>();

		private final Lateness firstEvents = new Lateness();

		private final Lateness gaps = new Lateness();

		private final LoadLevel load = new LoadLevel();

		private double usedRatio;

		private long measuredAtMs = Long.MIN_VALUE / 2;

		double allowedRatio(ForwardSession session) {
			return this.line.allowedRatio(rank(session), this.load.value());
		}

	}

}
