package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.reachability.Reachability;
import io.whinjunction.reachability.ServiceReachability;
import io.whinjunction.routing.RoutedService;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * Detects that this router is cut off from the upstreams of a service, and the end of
 * that.
 * <p>
 * Guards against a router that takes its own loss of paths for the end of all upstreams:
 * it would refuse its callers, report live upstreams to its peers and plan around them.
 * While its paths are in doubt, it judges no upstream. {@link ServiceReachability}
 * decides; this class gathers the evidence of connections, replies and peers, and
 * connects to a few upstreams to gain more.
 * <p>
 * Invariants: at most {@link #MAX_PROBES} probes are under way, and none is made while
 * all upstreams are reached; a connection that a probe makes serves the next request.
 * Confined to the event loop.
 */
final class ReachabilityMonitor {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The interval between judgements while a service is not reached, in milliseconds.
	 */
	private static final long CHECK_INTERVAL_MS = 50;

	/** The interval between probes, in milliseconds. */
	private static final long PROBE_INTERVAL_MS = 300;

	/**
	 * The number of upstreams of a service that are probed when its paths come in doubt.
	 */
	private static final int FIRST_PROBES = 3;

	private static final int MAX_PROBES = 6;

	/** All upstreams that can't be connected to are probed within this many rounds. */
	private static final int PROBE_ROUNDS = 10;

	/**
	 * A router probes a service that a peer no longer reaches, if its own last contact is
	 * older than this, in milliseconds.
	 */
	private static final long FRESH_CONTACT_MS = 300;

	private final RouterContext router;

	private final Listener listener;

	private final Map<String, ServiceReachability> services = new HashMap<>();

	private final Map<String, Reachability> judged = new HashMap<>();

	private final Map<String, Long> probedAtMs = new HashMap<>();

	private int probes;

	/** Whether any upstream may not be reached. */
	private boolean troubled;

	/** {@code null} while no judgement is scheduled. */
	private ScheduledFuture<?> check;

	/**
	 * Creates a monitor without evidence.
	 * @param router the clock, the event loop, the upstreams and the pool
	 * @param listener is informed of changes
	 */
	ReachabilityMonitor(RouterContext router, Listener listener) {
		this.router = router;
		this.listener = listener;
	}

	private ServiceReachability service(String name) {
		return this.services.computeIfAbsent(name, (key) -> new ServiceReachability());
	}

	/**
	 * Records that a connection to an upstream was made.
	 * @param upstream the upstream
	 */
	void connected(Upstream upstream) {
		if (!upstream.isRouter()) {
			service(upstream.service()).connected(upstream.incarnation(), this.router.nowMs());
			if (this.troubled) {
				judge(upstream.service());
			}
		}
	}

	/**
	 * Records that no connection to an upstream could be made.
	 * @param upstream the upstream
	 * @param startedMs when the attempt began
	 */
	void connectFailed(Upstream upstream, long startedMs) {
		if (stays(upstream.incarnation())) {
			service(upstream.service()).connectFailed(upstream.incarnation(), startedMs);
			doubt(upstream);
		}
	}

	/**
	 * Records that data of an upstream was received.
	 * @param upstream the upstream
	 */
	void heard(Upstream upstream) {
		if (!upstream.isRouter()) {
			service(upstream.service()).heard(upstream.incarnation(), this.router.nowMs());
		}
	}

	/**
	 * Records that an upstream did not reply, or that an open connection to it broke off.
	 * @param upstream the upstream
	 * @param sinceMs when it was queried, or when the connection broke off
	 */
	void silent(Upstream upstream, long sinceMs) {
		if (stays(upstream.incarnation())) {
			service(upstream.service()).silent(upstream.incarnation(), sinceMs);
			doubt(upstream);
		}
	}

	// An upstream that leaves ends its connections itself. A router is never listed.
	private boolean stays(String incarnation) {
		UpstreamState state = this.router.directory().find(incarnation);
		return state != null && !state.leaving();
	}

	private void doubt(Upstream upstream) {
		this.troubled = true;
		judge(upstream.service());
		schedule();
	}

	/**
	 * Records that a peer has an upstream's answer to a request of this router.
	 * @param service the service of the upstream
	 */
	void relayed(String service) {
		service(service).peerContact(this.router.nowMs());
	}

	/**
	 * Records what a peer reaches of the configured services. Where it does not reach a
	 * service that this router reaches, this router makes sure, so that the peer can tell
	 * why.
	 * @param reach the reach of the peer
	 */
	void peerReach(PeerReach reach) {
		long nowMs = this.router.nowMs();
		RoutingConfiguration configuration = this.router.configuration();
		reach.contactAgesMs().forEach((name, ageMs) -> {
			if (configuration == null || configuration.service(name) == null) {
				return;
			}
			if (ageMs >= 0) {
				service(name).peerContact(nowMs - ageMs);
			}
			else if (of(name) == Reachability.REACHED && !recentContact(name)) {
				probe(name, 1);
			}
		});
	}

	private boolean recentContact(String name) {
		long ageMs = contactAgeMs(name);
		return ageMs >= 0 && ageMs <= FRESH_CONTACT_MS;
	}

	/**
	 * Returns whether this router reaches the upstreams of a service.
	 * @param service the service
	 * @return the last judgement
	 */
	Reachability of(String service) {
		return this.judged.getOrDefault(service, Reachability.REACHED);
	}

	/**
	 * Returns the time since an upstream of a service was last reached in any way.
	 * @param service the service
	 * @return milliseconds; -1 if none was reached yet
	 */
	long contactAgeMs(String service) {
		return service(service).contactAgeMs(this.router.nowMs());
	}

	/**
	 * Returns whether the paths to any service are in doubt.
	 * @return whether upstreams of a service are not judged now
	 */
	boolean doubtful() {
		return this.judged.values().stream().anyMatch((reachability) -> !reachability.judgesUpstreams());
	}

	/**
	 * Returns whether the last attempt to connect to an upstream failed.
	 * @param upstream the incarnation of the upstream
	 * @return {@code true} until a connection to it is made
	 */
	boolean unconnected(String upstream) {
		if (!this.troubled) {
			return false;
		}
		UpstreamState state = this.router.directory().find(upstream);
		return state != null && service(state.upstream().service()).unconnected(upstream);
	}

	/**
	 * Returns since when this router can't connect to any of the upstreams of a service
	 * to which it can't connect now.
	 * @param service the service
	 * @return when the latest failed attempt to connect to another one began; empty if
	 * all can be connected to
	 */
	OptionalLong unconnectedSinceMs(String service) {
		return this.troubled ? service(service).unconnectedSinceMs() : OptionalLong.empty();
	}

	/**
	 * Returns what this router knows of the services that it has reached so far.
	 * @return the age of the last contact with an upstream, in milliseconds, by service;
	 * {@link PeerReach#NOT_REACHED} for a service that is not reached now
	 */
	Map<String, Long> contactAgesMs() {
		long nowMs = this.router.nowMs();
		Map<String, Long> ages = new HashMap<>();
		this.services.forEach((name, service) -> {
			long ageMs = service.contactAgeMs(nowMs);
			if (of(name) != Reachability.REACHED) {
				ages.put(name, PeerReach.NOT_REACHED);
			}
			else if (ageMs >= 0) {
				ages.put(name, ageMs);
			}
		});
		return ages;
	}

	/**
	 * Counts the services by whether they are reached.
	 * @return the number of services for each judgement that applies to any
	 */
	Map<Reachability, Integer> counts() {
		Map<Reachability, Integer> counts = new EnumMap<>(Reachability.class);
		this.judged.values().forEach((reachability) -> counts.merge(reachability, 1, Integer::sum));
		return counts;
	}

	private void judge(String name) {
		ServiceReachability service = service(name);
		Reachability before = of(name);
		int elsewhere = 0;
		for (Map.Entry<String, ServiceReachability> other : this.services.entrySet()) {
			elsewhere += other.getKey().equals(name) ? 0 : other.getValue().evidence().size();
		}
		Reachability now = service.judge(upstreams(name).size(), elsewhere, this.router.nowMs());
		if (now == before) {
			return;
		}
		this.judged.put(name, now);
		logger.atWarning()
			.log("event=reachability service=%s judged=%s before=%s unconnected=%d evidence-age-ms=%d", name, now,
					before, service.unconnected().size(), this.router.nowMs() - service.evidenceSinceMs());
		if (before == Reachability.REACHED) {
			// What keeps this router from one service may keep it from others.
			List.copyOf(this.services.keySet()).forEach((other) -> probe(other, FIRST_PROBES));
		}
		this.listener.changed(name, now, service.evidenceSinceMs());
	}

	private void schedule() {
		if (this.check == null) {
			this.check = this.router.loop().schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void check() {
		this.check = null;
		boolean pending = false;
		for (String name : List.copyOf(this.services.keySet())) {
			ServiceReachability service = service(name);
			service.retain(this::stays);
			judge(name);
			switch (of(name)) {
				case CUT_OFF -> this.listener.cutOff(name);
				case DOUBTFUL -> this.listener.doubtful();
				case REACHED, LOST -> {
				}
			}
			if (of(name) != Reachability.REACHED || !service.unconnected().isEmpty()) {
				pending = true;
				probe(name, 1 + service.unconnected().size() / PROBE_ROUNDS);
			}
		}
		this.troubled = pending;
		if (pending) {
			schedule();
		}
	}

	// A random delay keeps routers that were cut off together from connecting together.
	private void probe(String name, int count) {
		long nowMs = this.router.nowMs();
		Long lastMs = this.probedAtMs.get(name);
		if (lastMs != null && nowMs < lastMs) {
			return;
		}
		this.probedAtMs.put(name, nowMs + PROBE_INTERVAL_MS / 2 + this.router.random().nextLong(PROBE_INTERVAL_MS));
		List<Upstream> candidates = candidates(name);
		for (int probed = 0; probed < count && !candidates.isEmpty() && this.probes < MAX_PROBES; probed++) {
			probe(candidates.remove(this.router.random().nextInt(candidates.size())));
		}
	}

	private Collection<UpstreamState> upstreams(String name) {
		RoutingConfiguration configuration = this.router.configuration();
		RoutedService service = (configuration != null) ? configuration.service(name) : null;
		UpstreamDirectory directory = this.router.directory();
		return (service != null) ? directory.active(service) : directory.listed(name);
	}

	// Any other upstream shows whether the paths work, also one at which no request
	// starts; those that failed are tried to find out when they work again.
	private List<Upstream> candidates(String name) {
		Collection<UpstreamState> active = upstreams(name);
		Set<String> unconnected = service(name).unconnected();
		List<Upstream> others = new ArrayList<>();
		List<Upstream> failed = new ArrayList<>();
		for (UpstreamState state : active) {
			Upstream upstream = state.upstream();
			if (this.router.availability().backingOff(state.incarnation())) {
				continue;
			}
			if (unconnected.contains(state.incarnation())) {
				failed.add(upstream);
			}
			else {
				others.add(upstream);
			}
		}
		boolean reached = of(name) == Reachability.REACHED;
		return (!failed.isEmpty() && (reached || others.isEmpty() || this.router.random().nextBoolean())) ? failed
				: others;
	}

	private void probe(Upstream upstream) {
		this.probes++;
		this.router.pool().acquire(upstream, true, Long.MAX_VALUE, (acquisition) -> {
			this.probes--;
			if (acquisition instanceof Acquisition.Connected connected) {
				this.router.pool().release(connected.connection());
			}
		});
	}

	/** Is informed of changes. */
	interface Listener {

		/**
		 * Called repeatedly while this router is cut off from a service.
		 * @param service the service
		 */
		void cutOff(String service);

		/** Called repeatedly while the paths to a service are in doubt. */
		void doubtful();

		/**
		 * Called when the judgement of a service has changed.
		 * @param service the service
		 * @param reachability whether this router reaches its upstreams
		 * @param sinceMs when the evidence began, unless they are reached
		 */
		void changed(String service, Reachability reachability, long sinceMs);

	}

}
