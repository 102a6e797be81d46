package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.chain.Hop;

/**
 * Notices engines that are dead, cut off or empty before the list of upstreams does.
 * <p>
 * The failure it is there for: an engine in the middle of a path dies, every stream over
 * it stands still for seconds, and the list shows it only after its heartbeats are
 * missed. A stream without progress for a few usual gaps has all engines of its path
 * asked; one that doesn't answer, or no longer holds its layers, is left alone by all
 * routers, and the streams that wait for it go on elsewhere.
 * <p>
 * Invariant: an engine is asked at most once each {@link #PROBE_PAUSE_MS}, so that a slow
 * fleet isn't slowed by questions. Confined to the event loop.
 */
final class EngineWatch {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long PERIOD_MS = 40;

	/**
	 * A stream without an event for this many of its usual gaps is looked into. At 110 ms
	 * for all streams, a day of high load had 27,942 questions; at three gaps, 5,514.
	 */
	private static final double STALL_GAPS = 3;

	/** Never sooner than this, in milliseconds: a pass of the slowest engines. */
	private static final long LEAST_STALL_MS = 110;

	/** Always by then, in milliseconds: callers are promised pauses under 250. */
	private static final long MOST_STALL_MS = 400;

	/** An engine answers in a few milliseconds; in this time even a slowed one does. */
	private static final long PROBE_MS = 80;

	private static final long PROBE_PAUSE_MS = 400;

	/** How long an engine is left alone after each question that it did not answer. */
	private static final long AVOID_MS = 1500;

	/** Suspicions of others are believed this long, in milliseconds. */
	private static final long HEARSAY_MS = 700;

	/** Questions without an answer after which an engine is replaced. */
	private static final int LOST_AFTER = 2;

	private final RouterContext router;

	private final EngineControl engines;

	private final Runnable news;

	private final Set<Attempt> streams = new HashSet<>();

	private final Map<String, Suspicion> suspicions = new HashMap<>();

	private final Map<String, Long> askedAtMs = new HashMap<>();

	/**
	 * A watch.
	 * @param router the directory and the clock
	 * @param engines how engines are asked
	 * @param news is run when an engine becomes suspect or lost
	 */
	EngineWatch(RouterContext router, EngineControl engines, Runnable news) {
		this.router = router;
		this.engines = engines;
		this.news = news;
	}

	void start() {
		this.router.loop().scheduleAtFixedRate(this::look, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
	}

	void add(Attempt stream) {
		this.streams.add(stream);
	}

	void remove(Attempt stream) {
		this.streams.remove(stream);
	}

	/**
	 * Whether an engine has left several questions unanswered.
	 * @param engineId the engine's name
	 * @return whether its layers should be held by another
	 */
	boolean lost(String engineId) {
		Suspicion suspicion = this.suspicions.get(engineId);
		return suspicion != null && suspicion.unanswered >= LOST_AFTER;
	}

	/**
	 * Addresses of engines that this router itself has found silent.
	 * @return the addresses
	 */
	List<String> suspects() {
		List<String> addresses = new ArrayList<>();
		this.suspicions.values().forEach((suspicion) -> {
			if (suspicion.unanswered > 0) {
				addresses.add(suspicion.upstream.address());
			}
		});
		return addresses;
	}

	/**
	 * Hears from another router, or from an engine, that an engine is silent.
	 * @param address the engine
	 */
	void hearsay(String address) {
		UpstreamState state = this.router.directory().findByAddress(address);
		if (state != null && state.upstream().held() != null) {
			state.avoidUntil(this.router.nowMs() + HEARSAY_MS);
			ask(state.upstream());
		}
	}

	private void look() {
		long nowMs = this.router.nowMs();
		for (Attempt stream : List.copyOf(this.streams)) {
			double stallMs = Math.clamp(STALL_GAPS * stream.usualGapMs(), LEAST_STALL_MS, MOST_STALL_MS);
			if (nowMs - stream.progressAtMs() > stallMs) {
				lookInto(stream);
			}
		}
		for (Suspicion suspicion : List.copyOf(this.suspicions.values())) {
			if (this.router.directory().find(suspicion.upstream.id()) == null) {
				this.suspicions.remove(suspicion.upstream.id());
			}
			else {
				ask(suspicion.upstream);
			}
		}
	}

	private void lookInto(Attempt stream) {
		for (Hop hop : stream.target().path()) {
			String id = hop.engine().id();
			UpstreamState state = this.router.directory().find(id);
			Suspicion suspicion = this.suspicions.get(id);
			if (state == null || (suspicion != null && suspicion.unanswered > 0)) {
				stream.stalled(hop.engine().address());
				return;
			}
		}
		for (Hop hop : stream.target().path()) {
			UpstreamState state = this.router.directory().find(hop.engine().id());
			if (state != null) {
				ask(state.upstream());
			}
		}
	}

	private void ask(Upstream upstream) {
		long nowMs = this.router.nowMs();
		Long askedMs = this.askedAtMs.get(upstream.id());
		if (askedMs != null && nowMs - askedMs < PROBE_PAUSE_MS) {
			return;
		}
		this.askedAtMs.put(upstream.id(), nowMs);
		this.askedAtMs.values().removeIf((atMs) -> nowMs - atMs > 10 * PROBE_PAUSE_MS);
		this.engines.report(upstream.address(), PROBE_MS, (report) -> take(upstream, report));
	}

	private void take(Upstream upstream, Optional<EngineReport> report) {
		UpstreamState state = this.router.directory().find(upstream.id());
		boolean holds = report.isPresent() && (report.get().held() != null || report.get().loading());
		if (holds || state == null) {
			Suspicion cleared = this.suspicions.remove(upstream.id());
			if (cleared != null && state != null) {
				state.avoidUntil(Long.MIN_VALUE);
				logger.atInfo().log("event=engine-regained engine=%s address=%s", upstream.id(), upstream.address());
			}
			return;
		}
		Suspicion suspicion = this.suspicions.computeIfAbsent(upstream.id(), (id) -> new Suspicion(upstream));
		suspicion.unanswered++;
		state.avoidUntil(this.router.nowMs() + AVOID_MS);
		if (suspicion.unanswered <= LOST_AFTER) {
			logger.atWarning()
				.log("event=engine-suspect engine=%s address=%s unanswered=%d answered=%s", upstream.id(),
						upstream.address(), suspicion.unanswered, report.isPresent());
			this.news.run();
			look();
		}
	}

	/** An engine that is looked into; confined to the watch. */
	private static final class Suspicion {

		private final Upstream upstream;

		private int unanswered;

		Suspicion(Upstream upstream) {
			this.upstream = upstream;
		}

	}

}
