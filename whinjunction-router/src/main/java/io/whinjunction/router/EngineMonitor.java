package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.chain.Hop;

/**
 * Detects engines that have crashed, are unreachable or hold no layers before the list of
 * upstreams shows it.
 * <p>
 * Guards against long stalls after an engine in the middle of a path crashes: every
 * stream over it stalls for seconds, and the list shows the crash only after the engine's
 * heartbeats were missed. Engines whose streams are stalled ({@link StallRules}) are sent
 * a status query. An engine that does not reply, or no longer holds its layers, is
 * avoided by all routers for a while, and the streams that wait for it fail over. An
 * engine over which streams of any router make progress works, whoever does not reach it.
 * <p>
 * Invariant: an engine whose streams are late is queried at most once per
 * {@link #QUERY_INTERVAL_MS}, and while it is suspect, or this router itself receives
 * nothing, once per {@link #SUSPECT_QUERY_INTERVAL_MS}, each time once more where it does
 * not reply, so that status queries do not slow a slow fleet down further, and not at all
 * while it requests a backoff. Confined to the event loop.
 */
final class EngineMonitor {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The time limit for a reply, in milliseconds. An engine replies within a few
	 * milliseconds, and within this time even if it is slowed down.
	 */
	private static final long QUERY_TIMEOUT_MS = 80;

	/**
	 * The time, in milliseconds, after which an engine is considered silent if most of
	 * the engines queried with it have replied: their replies show that this router
	 * itself is not slow.
	 */
	private static final long EARLY_QUERY_TIMEOUT_MS = 40;

	private static final long QUERY_INTERVAL_MS = 400;

	/**
	 * The interval between status queries to a suspect engine, in milliseconds. It is
	 * short because the second missing reply causes the engine's layers to be loaded
	 * elsewhere, which takes most of a second.
	 */
	private static final long SUSPECT_QUERY_INTERVAL_MS = 120;

	/**
	 * How long an engine is avoided after each unanswered status query, in milliseconds.
	 */
	private static final long BACKOFF_MS = 1500;

	/**
	 * How long an engine is avoided after a peer or an engine reported it, in
	 * milliseconds.
	 */
	private static final long REPORTED_BACKOFF_MS = 700;

	/**
	 * How long a stream has to go on after an engine of its path was regained, in
	 * milliseconds: longer than a pass of a slow engine.
	 */
	private static final long RESUMPTION_MS = 150;

	/** How long a regained engine is remembered, in milliseconds. */
	private static final long REGAINED_REMEMBERED_MS = 5_000;

	/**
	 * How recent an event of a stream over an engine is that shows that the engine works,
	 * in milliseconds: less than the time in which another router found it silent.
	 */
	private static final long PROGRESS_MS = 80;

	/**
	 * How long peers have at least to report that an engine works before streams leave
	 * it, in milliseconds: a round trip.
	 */
	private static final long PEER_REPORT_MS = 10;

	/** The same if no peer answers, in milliseconds. */
	private static final long MAX_PEER_REPORT_MS = 40;

	/**
	 * How long the report of a peer about an engine is taken into account, in
	 * milliseconds.
	 */
	private static final long REPORT_MS = 1500;

	/** The number of unanswered status queries after which an engine is replaced. */
	private static final int LOST_AFTER_UNANSWERED = 2;

	private final RouterContext router;

	private final EngineControl engines;

	private final Runnable onChange;

	private final BooleanSupplier leads;

	private final Set<Attempt> streams = new HashSet<>();

	private final Map<String, Suspicion> suspicions = new HashMap<>();

	private final CheckTimer timer;

	private final ReceptionCheck reception;

	private final Map<String, Long> queriedAtMs = new HashMap<>();

	/** When engines replied again that had been found silent. */
	private final Map<String, Long> regainedAtMs = new HashMap<>();

	/** When peers last reported engines as silent. */
	private final Map<String, Long> reportedAtMs = new HashMap<>();

	/** When peers last reported engines as working that this router found silent. */
	private final Map<String, Long> workingAtMs = new HashMap<>();

	private final QueryBudget budget = new QueryBudget();

	/**
	 * Creates a monitor without streams.
	 * @param router the directory and the clock
	 * @param engines sends the status queries
	 * @param onChange is run when an engine becomes suspect or lost
	 * @param leads whether this router plans repairs and therefore has to detect the loss
	 * of any engine
	 * @param reception checks whether this router receives replies in time
	 */
	EngineMonitor(RouterContext router, EngineControl engines, Runnable onChange, BooleanSupplier leads,
			ReceptionCheck reception) {
		this.leads = leads;
		this.reception = reception;
		this.router = router;
		this.engines = engines;
		this.onChange = onChange;
		this.timer = new CheckTimer(router, this::check);
	}

	void add(Attempt stream) {
		this.streams.add(stream);
		this.timer.checkWithin(CheckTimer.MAX_INTERVAL_MS);
	}

	/** Handles the answer of a peer to a query of this router. */
	void peerAnswered() {
		this.reception.peerAnswered();
	}

	void remove(Attempt stream) {
		this.streams.remove(stream);
	}

	/**
	 * Returns whether an engine left several status queries unanswered.
	 * @param engineId the incarnation of the engine
	 * @return whether another engine should hold its layers
	 */
	boolean lost(String engineId) {
		Suspicion suspicion = this.suspicions.get(engineId);
		return suspicion != null && suspicion.unanswered >= LOST_AFTER_UNANSWERED;
	}

	/**
	 * Returns the engines that this router itself found silent.
	 * @return their incarnations, without those to which its own paths are in doubt
	 */
	List<String> suspects() {
		return this.suspicions.values()
			.stream()
			.map((suspicion) -> suspicion.upstream)
			.filter((upstream) -> this.router.reachability().of(upstream.service()).judgesUpstreams())
			.map(Upstream::incarnation)
			.toList();
	}

	/**
	 * Withdraws what this router found about the engines of a service from which it is
	 * cut off.
	 * @param service the service
	 */
	void withdraw(String service) {
		this.suspicions.values().removeIf((suspicion) -> suspicion.upstream.service().equals(service));
	}

	/**
	 * Handles a report of a peer or of an engine that an engine is silent. The engine is
	 * avoided for a while, and queried if this router plans repairs or has a stream over
	 * it. Streams stay until this router itself has found the engine silent: otherwise
	 * one mistake of one router would move the streams of all routers.
	 * @param incarnation the incarnation of the engine; a report about an earlier
	 * incarnation is ignored
	 */
	void suspectReported(String incarnation) {
		UpstreamState state = this.router.directory().find(incarnation);
		if (state == null || state.upstream().held() == null) {
			return;
		}
		this.reportedAtMs.put(incarnation, this.router.nowMs());
		if (progresses(incarnation)) {
			return;
		}
		state.avoidUntil(this.router.nowMs() + REPORTED_BACKOFF_MS);
		if (this.leads.getAsBoolean() || usedByOwnStream(incarnation)) {
			new Round().query(state.upstream());
		}
	}

	/**
	 * Returns the engines that peers reported as silent although streams of this router
	 * make progress over them: the peers are cut off from these engines.
	 * @return their incarnations; nearly always none
	 */
	List<String> workingReported() {
		if (this.reportedAtMs.isEmpty()) {
			return List.of();
		}
		long nowMs = this.router.nowMs();
		this.reportedAtMs.values().removeIf((atMs) -> nowMs - atMs > REPORT_MS);
		return this.reportedAtMs.keySet().stream().filter(this::progresses).toList();
	}

	/**
	 * Handles the report of a peer that streams make progress over an engine. This router
	 * does not reach the engine itself, but paths may pass through it.
	 * @param incarnation the incarnation of the engine
	 */
	void workingReportReceived(String incarnation) {
		this.router.endedUpstreams().lives(incarnation);
		Suspicion suspicion = this.suspicions.remove(incarnation);
		if (suspicion == null && !this.workingAtMs.containsKey(incarnation)) {
			return;
		}
		this.workingAtMs.put(incarnation, this.router.nowMs());
		UpstreamState state = this.router.directory().find(incarnation);
		if (suspicion != null && state != null) {
			state.avoidUntil(Long.MIN_VALUE);
			logger.atInfo()
				.log("event=engine-working engine=%s address=%s unanswered=%d", incarnation,
						suspicion.upstream.address(), suspicion.unanswered);
		}
	}

	private boolean works(String incarnation) {
		long nowMs = this.router.nowMs();
		this.workingAtMs.values().removeIf((atMs) -> nowMs - atMs > REPORT_MS);
		return this.workingAtMs.containsKey(incarnation) || progresses(incarnation);
	}

	private boolean progresses(String incarnation) {
		long sinceMs = this.router.nowMs() - PROGRESS_MS;
		return this.streams.stream()
			.anyMatch((stream) -> stream.eventBatches() > 0 && stream.progressAtMs() > sinceMs
					&& stream.target().engineIds().contains(incarnation));
	}

	// A router that neither plans repairs nor has a stream over the engine only avoids
	// it: otherwise each router of a large fleet would query each engine that any
	// router suspects.
	private boolean usedByOwnStream(String incarnation) {
		return this.streams.stream().anyMatch((stream) -> stream.target().engineIds().contains(incarnation));
	}

	/**
	 * Returns whether this router itself found an engine silent.
	 * @param engineId the incarnation of the engine
	 * @return whether it did, and the engine has not replied since
	 */
	boolean suspects(String engineId) {
		return this.suspicions.containsKey(engineId);
	}

	private void check() {
		if (this.streams.isEmpty() && this.suspicions.isEmpty()) {
			return;
		}
		double untilLateMs = untilLateMs();
		this.timer.checkWithin(this.suspicions.isEmpty() ? untilLateMs : CheckTimer.MIN_INTERVAL_MS);
		if (untilLateMs > 0 && this.suspicions.isEmpty() && !anyOverSupersededEngine()) {
			// Nearly all checks find nothing, and checks run many times a second.
			return;
		}
		Map<Attempt, StallRules.Pause> pauses = pauses();
		failOverFromSuspects(pauses);
		Round round = new Round();
		StallRules.stalledEngines(pauses.values()).forEach(round::query);
		pauses.forEach((stream, pause) -> {
			if (StallRules.lateAlone(pause)) {
				queryPath(stream, pause, round);
			}
		});
		for (Suspicion suspicion : List.copyOf(this.suspicions.values())) {
			if (this.router.directory().find(suspicion.upstream.incarnation()) == null) {
				this.suspicions.remove(suspicion.upstream.incarnation());
			}
			else {
				round.query(suspicion.upstream);
			}
		}
	}

	// The directory keeps superseded incarnations long after the last stream over one has
	// ended, so a non-empty set alone must not cause a full check.
	private boolean anyOverSupersededEngine() {
		if (!this.router.directory().anySuperseded()) {
			return false;
		}
		for (Attempt stream : this.streams) {
			for (Hop hop : stream.target().path()) {
				if (this.router.directory().superseded(hop.engine().id())) {
					return true;
				}
			}
		}
		return false;
	}

	private double untilLateMs() {
		long nowMs = this.router.nowMs();
		double untilLateMs = CheckTimer.MAX_INTERVAL_MS;
		for (Attempt stream : this.streams) {
			untilLateMs = Math.min(untilLateMs, StallRules.untilLateMs(pause(stream, List.of(), nowMs)));
		}
		return untilLateMs;
	}

	private Map<Attempt, StallRules.Pause> pauses() {
		long nowMs = this.router.nowMs();
		// Streams with the shortest prompts come first: the engines of the new path
		// read the prompts of the moved streams one after the other, and in this order
		// most streams resume within the pause that callers are promised.
		List<Attempt> ordered = new ArrayList<>(this.streams);
		ordered.sort(Comparator.comparingInt(Attempt::promptTokens));
		Map<Attempt, StallRules.Pause> pauses = new LinkedHashMap<>();
		for (Attempt stream : ordered) {
			pauses.put(stream, pause(stream, stream.target().engineIds(), nowMs));
		}
		return pauses;
	}

	private static StallRules.Pause pause(Attempt stream, List<String> engineIds, long nowMs) {
		return new StallRules.Pause(engineIds, stream.hasMeanGap(), stream.meanGapMs(), nowMs - stream.progressAtMs());
	}

	private void failOverFromSuspects(Map<Attempt, StallRules.Pause> pauses) {
		pauses.forEach((stream, pause) -> {
			if (StallRules.shouldFailOver(pause)) {
				suspectOf(stream).or(() -> regainedOf(stream)).ifPresent(stream::stalled);
			}
		});
	}

	// An engine that restarted has lost what it ran; the engines before it on the path
	// notice that only after seconds.
	private Optional<String> regainedOf(Attempt stream) {
		if (this.regainedAtMs.isEmpty()) {
			return Optional.empty();
		}
		long beforeMs = this.router.nowMs() - RESUMPTION_MS;
		return stream.target().path().stream().filter((hop) -> {
			Long regainedMs = this.regainedAtMs.get(hop.engine().id());
			return regainedMs != null && regainedMs > stream.progressAtMs() && regainedMs < beforeMs;
		}).map((hop) -> hop.engine().address()).findFirst();
	}

	private Optional<String> suspectOf(Attempt stream) {
		return stream.target()
			.path()
			.stream()
			.filter((hop) -> leaveable(hop.engine().id()) || this.router.directory().superseded(hop.engine().id()))
			.map((hop) -> hop.engine().address())
			.findFirst();
	}

	private void queryPath(Attempt stream, StallRules.Pause pause, Round round) {
		for (Hop hop : stream.target().path()) {
			if (this.router.directory().find(hop.engine().id()) == null) {
				stream.stalled(hop.engine().address());
				return;
			}
		}
		pause.engineIds().forEach(round::query);
	}

	private void onSilent(Upstream upstream, boolean replied) {
		if (!replied && (!this.router.reachability().of(upstream.service()).judgesUpstreams()
				|| works(upstream.incarnation()))) {
			return;
		}
		UpstreamState state = this.router.directory().find(upstream.incarnation());
		if (state == null) {
			this.suspicions.remove(upstream.incarnation());
			return;
		}
		Suspicion suspicion = this.suspicions.computeIfAbsent(upstream.incarnation(),
				(id) -> new Suspicion(upstream, this.router.nowMs()));
		suspicion.unanswered++;
		suspicion.replied |= replied;
		this.timer.checkWithin(CheckTimer.MIN_INTERVAL_MS);
		state.avoidUntil(this.router.nowMs() + BACKOFF_MS);
		if (suspicion.unanswered <= LOST_AFTER_UNANSWERED) {
			logger.atWarning()
				.log("event=engine-suspect engine=%s address=%s unanswered=%d answered=%s", upstream.incarnation(),
						upstream.address(), suspicion.unanswered, replied);
			this.onChange.run();
			failOverOncePeersReported();
		}
	}

	private void failOverOncePeersReported() {
		failOverFromSuspects(pauses());
		this.router.loop().schedule(() -> failOverFromSuspects(pauses()), PEER_REPORT_MS, TimeUnit.MILLISECONDS);
	}

	// Peers may know that the engine works.
	private boolean leaveable(String engineId) {
		Suspicion suspicion = this.suspicions.get(engineId);
		if (suspicion == null) {
			return false;
		}
		long sinceMs = this.router.nowMs() - suspicion.reportedAtMs;
		boolean answered = sinceMs >= PEER_REPORT_MS
				&& this.router.peers().answeredSince(this.router.bootMs() - sinceMs);
		return suspicion.replied || answered || sinceMs >= MAX_PEER_REPORT_MS
				|| this.router.peers().activeCount(this.router.nowMs()) == 0;
	}

	private void onWorking(Upstream upstream) {
		UpstreamState state = this.router.directory().find(upstream.incarnation());
		Suspicion cleared = this.suspicions.remove(upstream.incarnation());
		if (cleared != null && state != null) {
			state.avoidUntil(Long.MIN_VALUE);
			long nowMs = this.router.nowMs();
			this.regainedAtMs.values().removeIf((atMs) -> nowMs - atMs > REGAINED_REMEMBERED_MS);
			this.regainedAtMs.put(upstream.incarnation(), nowMs);
			logger.atInfo()
				.log("event=engine-regained engine=%s address=%s", upstream.incarnation(), upstream.address());
		}
	}

	private boolean conclusive(long queriedMs, long limitMs) {
		return StallRules.conclusive(this.router.nowMs() - queriedMs, limitMs, this.timer.delayMs());
	}

	/** Engines that are queried at the same moment; confined to the event loop. */
	private final class Round {

		private final Map<String, Upstream> pending = new HashMap<>();

		private int queried;

		private int replies;

		private long firstQueriedMs;

		void query(String engineId) {
			UpstreamState state = EngineMonitor.this.router.directory().find(engineId);
			if (state != null) {
				query(state.upstream());
			}
		}

		void query(Upstream upstream) {
			if (EngineMonitor.this.router.availability().backingOff(upstream.incarnation())) {
				return;
			}
			long nowMs = EngineMonitor.this.router.nowMs();
			Suspicion suspicion = EngineMonitor.this.suspicions.get(upstream.incarnation());
			boolean urgent = suspicion != null && suspicion.unanswered < LOST_AFTER_UNANSWERED;
			Long queriedMs = EngineMonitor.this.queriedAtMs.get(upstream.incarnation());
			boolean queriedRecently = queriedMs != null
					&& nowMs - queriedMs < (urgent ? SUSPECT_QUERY_INTERVAL_MS : QUERY_INTERVAL_MS);
			if (queriedRecently
					|| !EngineMonitor.this.budget.take(nowMs, EngineMonitor.this.router.peers().routerCount(nowMs))) {
				return;
			}
			EngineMonitor.this.queriedAtMs.put(upstream.incarnation(), nowMs);
			EngineMonitor.this.queriedAtMs.values().removeIf((atMs) -> nowMs - atMs > 10 * QUERY_INTERVAL_MS);
			if (this.queried == 0) {
				this.firstQueriedMs = nowMs;
				EngineMonitor.this.router.loop().schedule(this::judge, EARLY_QUERY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			}
			this.queried++;
			this.pending.put(upstream.incarnation(), upstream);
			EngineMonitor.this.engines.queryStatus(upstream, QUERY_TIMEOUT_MS,
					(report) -> onReply(upstream, nowMs, report));
		}

		private void onReply(Upstream upstream, long queriedMs, Optional<EngineReport> report) {
			boolean wasPending = this.pending.remove(upstream.incarnation()) != null;
			if (report.isPresent()
					&& !EngineMonitor.this.router.directory().confirmIncarnation(upstream, report.get())) {
				this.replies++;
				EngineMonitor.this.suspicions.remove(upstream.incarnation());
				EngineMonitor.this.onChange.run();
				return;
			}
			boolean holds = report.isPresent() && (report.get().held() != null || report.get().loading());
			this.replies += report.isPresent() ? 1 : 0;
			if (holds) {
				onWorking(upstream);
			}
			else if (EngineMonitor.this.router.availability().backingOff(upstream.incarnation())) {
				// The engine answered the query with its request for a backoff.
				this.replies++;
			}
			else if (report.isPresent()) {
				onSilent(upstream, true);
			}
			else if (wasPending && conclusive(queriedMs, QUERY_TIMEOUT_MS)) {
				onNoReply(upstream, queriedMs);
			}
		}

		private void onNoReply(Upstream upstream, long queriedMs) {
			EngineMonitor.this.reception.start(new ReceptionCheck.Findings() {

				@Override
				public void conclusive() {
					EngineMonitor.this.router.reachability().silent(upstream, queriedMs);
					queryOnceMore(upstream);
				}

				@Override
				public void inconclusive() {
					EngineMonitor.this.queriedAtMs.remove(upstream.incarnation());
				}

			});
		}

		// A late reply to the first query was lost with it.
		private void queryOnceMore(Upstream upstream) {
			long nowMs = EngineMonitor.this.router.nowMs();
			this.pending.put(upstream.incarnation(), upstream);
			EngineMonitor.this.engines.queryStatus(upstream, EARLY_QUERY_TIMEOUT_MS, (report) -> {
				if (report.isPresent()) {
					onReply(upstream, nowMs, report);
				}
				else if (this.pending.remove(upstream.incarnation()) != null
						&& EngineMonitor.this.conclusive(nowMs, EARLY_QUERY_TIMEOUT_MS)) {
					onSilent(upstream, false);
				}
			});
		}

		private void judge() {
			boolean mostReplied = this.replies > this.pending.size();
			if (mostReplied && conclusive(this.firstQueriedMs, EARLY_QUERY_TIMEOUT_MS)) {
				EngineMonitor.this.reception.start(new ReceptionCheck.Findings() {

					@Override
					public void conclusive() {
						endPending();
					}

					@Override
					public void inconclusive() {
						// They are judged when the time limit of their replies is over.
					}

				});
			}
		}

		private void endPending() {
			List<Upstream> silent = List.copyOf(this.pending.values());
			this.pending.clear();
			silent.forEach((upstream) -> onSilent(upstream, false));
		}

	}

	/** An engine that did not reply; confined to the monitor. */
	private static final class Suspicion {

		private final Upstream upstream;

		private final long reportedAtMs;

		private int unanswered;

		/** Whether it replied that it holds no layers. */
		private boolean replied;

		Suspicion(Upstream upstream, long reportedAtMs) {
			this.upstream = upstream;
			this.reportedAtMs = reportedAtMs;
		}

	}

}
