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
 * Notices engines that are dead, cut off or empty before the list of upstreams does.
 * <p>
 * The failure it is there for: an engine in the middle of a path dies, every stream over
 * it stands still for seconds, and the list shows it only after its heartbeats are
 * missed. Engines whose streams stand still ({@link StallRules}) are asked; one that
 * doesn't answer, or no longer holds its layers, is left alone by all routers, and the
 * streams that wait for it go on elsewhere.
 * <p>
 * Invariant: an engine is asked at most once each {@link #ASK_PAUSE_MS}, and while it is
 * suspect each {@link #SUSPECT_PAUSE_MS}, so that a slow fleet isn't slowed by questions.
 * Confined to the event loop.
 */
final class EngineWatch {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** An engine answers in a few milliseconds; in this time even a slowed one does. */
	private static final long ANSWER_MS = 80;

	/**
	 * An engine that is silent for this long, in milliseconds, when most of those that
	 * were asked with it have answered, is taken for silent: it is not this router that
	 * is slow.
	 */
	private static final long ANSWER_BESIDE_OTHERS_MS = 40;

	private static final long ASK_PAUSE_MS = 400;

	/**
	 * The pause before a suspect engine is asked again, in milliseconds: the second
	 * silence has its layers loaded elsewhere, which takes most of a second.
	 */
	private static final long SUSPECT_PAUSE_MS = 120;

	/** How long an engine is left alone after each question that it did not answer. */
	private static final long AVOID_MS = 1500;

	/** Suspicions of others are believed this long, in milliseconds. */
	private static final long HEARSAY_MS = 700;

	/** Questions without an answer after which an engine is replaced. */
	private static final int LOST_AFTER = 2;

	private final RouterContext router;

	private final EngineControl engines;

	private final Runnable news;

	private final BooleanSupplier leads;

	private final Set<Attempt> streams = new HashSet<>();

	private final Map<String, Suspicion> suspicions = new HashMap<>();

	private final LookTimer timer;

	private final Map<String, Long> askedAtMs = new HashMap<>();

	private final QuestionBudget budget = new QuestionBudget();

	/**
	 * A watch.
	 * @param router the directory and the clock
	 * @param engines how engines are asked
	 * @param news is run when an engine becomes suspect or lost
	 * @param leads whether this router plans repairs, and so has to know of any loss
	 */
	EngineWatch(RouterContext router, EngineControl engines, Runnable news, BooleanSupplier leads) {
		this.leads = leads;
		this.router = router;
		this.engines = engines;
		this.news = news;
		this.timer = new LookTimer(router, this::look);
	}

	void add(Attempt stream) {
		this.streams.add(stream);
		this.timer.lookWithin(LookTimer.LONGEST_MS);
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
	 * Engines that this router itself has found silent.
	 * @return their incarnations
	 */
	List<String> suspects() {
		return List.copyOf(this.suspicions.keySet());
	}

	/**
	 * Hears from another router, or from an engine, that an engine is silent. It is left
	 * alone for a while, and asked where this router has to know; until it has found the
	 * engine silent itself, its streams stay: one mistake of one router would move the
	 * streams of all.
	 * @param incarnation the engine; what was said of an earlier start of it is void
	 */
	void hearsay(String incarnation) {
		UpstreamState state = this.router.directory().find(incarnation);
		if (state == null || state.upstream().held() == null) {
			return;
		}
		state.avoidUntil(this.router.nowMs() + HEARSAY_MS);
		if (this.leads.getAsBoolean() || passedByOwn(incarnation)) {
			new Round().ask(state.upstream());
		}
	}

	// Whoever neither plans repairs nor has a stream there only leaves the engine alone:
	// otherwise each router of a large fleet would ask each engine that any one suspects.
	private boolean passedByOwn(String incarnation) {
		return this.streams.stream().anyMatch((stream) -> stream.target().engineIds().contains(incarnation));
	}

	private void look() {
		if (this.streams.isEmpty() && this.suspicions.isEmpty()) {
			return;
		}
		double untilLateMs = untilLateMs();
		this.timer.lookWithin(this.suspicions.isEmpty() ? untilLateMs : LookTimer.SHORTEST_MS);
		if (untilLateMs > 0 && this.suspicions.isEmpty() && !anyOverEnded()) {
			// Nearly every look finds nothing, and looks come many times a second.
			return;
		}
		Map<Attempt, StallRules.Pause> pauses = pauses();
		moveFromSuspects(pauses);
		Round round = new Round();
		StallRules.standing(pauses.values()).forEach(round::ask);
		pauses.forEach((stream, pause) -> {
			if (StallRules.late(pause)) {
				lookInto(stream, pause, round);
			}
		});
		for (Suspicion suspicion : List.copyOf(this.suspicions.values())) {
			if (this.router.directory().find(suspicion.upstream.incarnation()) == null) {
				this.suspicions.remove(suspicion.upstream.incarnation());
			}
			else {
				round.ask(suspicion.upstream);
			}
		}
	}

	// Starts that have ended are remembered for good, and soon no stream is over one.
	private boolean anyOverEnded() {
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
		double untilLateMs = LookTimer.LONGEST_MS;
		for (Attempt stream : this.streams) {
			untilLateMs = Math.min(untilLateMs, StallRules.untilLateMs(pause(stream, List.of(), nowMs)));
		}
		return untilLateMs;
	}

	private Map<Attempt, StallRules.Pause> pauses() {
		long nowMs = this.router.nowMs();
		// The shortest prompts first: a stream that goes on elsewhere has its prompt read
		// anew there, one after the other, and so most of them go on within the pause
		// that callers are promised.
		List<Attempt> ordered = new ArrayList<>(this.streams);
		ordered.sort(Comparator.comparingInt(Attempt::promptTokens));
		Map<Attempt, StallRules.Pause> pauses = new LinkedHashMap<>();
		for (Attempt stream : ordered) {
			pauses.put(stream, pause(stream, stream.target().engineIds(), nowMs));
		}
		return pauses;
	}

	private static StallRules.Pause pause(Attempt stream, List<String> engineIds, long nowMs) {
		return new StallRules.Pause(engineIds, stream.gapsKnown(), stream.usualGapMs(), nowMs - stream.progressAtMs());
	}

	private void moveFromSuspects(Map<Attempt, StallRules.Pause> pauses) {
		pauses.forEach((stream, pause) -> {
			if (StallRules.waits(pause)) {
				suspectOf(stream).ifPresent(stream::stalled);
			}
		});
	}

	private Optional<String> suspectOf(Attempt stream) {
		return stream.target()
			.path()
			.stream()
			.filter((hop) -> this.suspicions.containsKey(hop.engine().id())
					|| this.router.directory().superseded(hop.engine().id()))
			.map((hop) -> hop.engine().address())
			.findFirst();
	}

	private void lookInto(Attempt stream, StallRules.Pause pause, Round round) {
		for (Hop hop : stream.target().path()) {
			if (this.router.directory().find(hop.engine().id()) == null) {
				stream.stalled(hop.engine().address());
				return;
			}
		}
		pause.engineIds().forEach(round::ask);
	}

	private void silent(Upstream upstream, boolean answered) {
		UpstreamState state = this.router.directory().find(upstream.incarnation());
		if (state == null) {
			this.suspicions.remove(upstream.incarnation());
			return;
		}
		Suspicion suspicion = this.suspicions.computeIfAbsent(upstream.incarnation(), (id) -> new Suspicion(upstream));
		suspicion.unanswered++;
		this.timer.lookWithin(LookTimer.SHORTEST_MS);
		state.avoidUntil(this.router.nowMs() + AVOID_MS);
		if (suspicion.unanswered <= LOST_AFTER) {
			logger.atWarning()
				.log("event=engine-suspect engine=%s address=%s unanswered=%d answered=%s", upstream.incarnation(),
						upstream.address(), suspicion.unanswered, answered);
			this.news.run();
			moveFromSuspects(pauses());
		}
	}

	private void works(Upstream upstream) {
		UpstreamState state = this.router.directory().find(upstream.incarnation());
		Suspicion cleared = this.suspicions.remove(upstream.incarnation());
		if (cleared != null && state != null) {
			state.avoidUntil(Long.MIN_VALUE);
			logger.atInfo()
				.log("event=engine-regained engine=%s address=%s", upstream.incarnation(), upstream.address());
		}
	}

	private boolean conclusive(long askedMs, long limitMs) {
		return StallRules.conclusive(this.router.nowMs() - askedMs, limitMs, this.timer.delayMs());
	}

	/** Engines that are asked at the same moment; confined to the event loop. */
	private final class Round {

		private final Map<String, Upstream> waiting = new HashMap<>();

		private int asked;

		private int answers;

		private long firstAskedMs;

		void ask(String engineId) {
			UpstreamState state = EngineWatch.this.router.directory().find(engineId);
			if (state != null) {
				ask(state.upstream());
			}
		}

		void ask(Upstream upstream) {
			long nowMs = EngineWatch.this.router.nowMs();
			Suspicion suspicion = EngineWatch.this.suspicions.get(upstream.incarnation());
			boolean urgent = suspicion != null && suspicion.unanswered < LOST_AFTER;
			Long askedMs = EngineWatch.this.askedAtMs.get(upstream.incarnation());
			boolean askedLately = askedMs != null && nowMs - askedMs < (urgent ? SUSPECT_PAUSE_MS : ASK_PAUSE_MS);
			if (askedLately || !EngineWatch.this.budget.take(nowMs, EngineWatch.this.router.peers().sharers(nowMs))) {
				return;
			}
			EngineWatch.this.askedAtMs.put(upstream.incarnation(), nowMs);
			EngineWatch.this.askedAtMs.values().removeIf((atMs) -> nowMs - atMs > 10 * ASK_PAUSE_MS);
			if (this.asked == 0) {
				this.firstAskedMs = nowMs;
				EngineWatch.this.router.loop().schedule(this::judge, ANSWER_BESIDE_OTHERS_MS, TimeUnit.MILLISECONDS);
			}
			this.asked++;
			this.waiting.put(upstream.incarnation(), upstream);
			EngineWatch.this.engines.report(upstream.address(), ANSWER_MS, (report) -> take(upstream, nowMs, report));
		}

		private void take(Upstream upstream, long askedMs, Optional<EngineReport> report) {
			boolean open = this.waiting.remove(upstream.incarnation()) != null;
			if (report.isPresent() && !EngineWatch.this.router.directory().confirmIncarnation(upstream, report.get())) {
				this.answers++;
				EngineWatch.this.suspicions.remove(upstream.incarnation());
				EngineWatch.this.news.run();
				return;
			}
			boolean holds = report.isPresent() && (report.get().held() != null || report.get().loading());
			this.answers += report.isPresent() ? 1 : 0;
			if (holds) {
				works(upstream);
			}
			else if (report.isPresent() || (open && conclusive(askedMs, ANSWER_MS))) {
				silent(upstream, report.isPresent());
			}
		}

		private void judge() {
			boolean mostAnswered = this.answers > this.waiting.size();
			if (mostAnswered && conclusive(this.firstAskedMs, ANSWER_BESIDE_OTHERS_MS)) {
				List<Upstream> silent = List.copyOf(this.waiting.values());
				this.waiting.clear();
				silent.forEach((upstream) -> silent(upstream, false));
			}
		}

	}

	/** An engine that did not answer; confined to the watch. */
	private static final class Suspicion {

		private final Upstream upstream;

		private int unanswered;

		Suspicion(Upstream upstream) {
			this.upstream = upstream;
		}

	}

}
