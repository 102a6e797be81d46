package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Plays routers, engines and requests whose prompts share parts, in simulated time.
 * Engines are killed at random, at once or in turn, or by requests with one part.
 * Deterministic for a seed; confined to one thread.
 */
final class PartCrashSimulation {

	static final PromptPart CRASHING = new PromptPart(-1);

	/** Time from the arrival at an engine to the head of the answer, in milliseconds. */
	private static final long READING_MS = 60;

	/**
	 * Time from the head of the answer to the crash of the engine, in milliseconds.
	 */
	private static final long CRASHES_AFTER_MS = 70;

	private static final long FIRST_EVENT_MS = 65;

	/** How long events have to arrive until a request ran well, in milliseconds. */
	private static final long HARMLESS_MS = 500;

	private static final long ANSWER_MS = 2500;

	private static final long BACK_AFTER_MS = 4000;

	private static final long PERIOD_MS = 250;

	private static final int PEERS_PER_PERIOD = 3;

	private static final long URGENT_MS = 10;

	/** Routers notice the crash of one engine within this time, in milliseconds. */
	private static final int NOTICED_WITHIN_MS = 90;

	private static final double LOSS_RATIO = 0.1;

	private final Day day;

	private final Random random;

	private final List<Attribution> routers = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));

	private final List<Engine> engines = new ArrayList<>();

	private final Set<PromptPart> refusedSound = new HashSet<>();

	private final List<Long> crashesAtMs = new ArrayList<>();

	private final List<Long> crashingSendsAtMs = new ArrayList<>();

	private long nowMs;

	private long scheduled;

	private int sent;

	private int soundArrived;

	private int soundRefused;

	private PartCrashSimulation(Day day, long seed, Supplier<Attribution> attribution) {
		this.day = day;
		this.random = new Random(seed);
		for (int index = 0; index < day.routers(); index++) {
			this.routers.add(attribution.get());
		}
		for (int index = 0; index < day.engines(); index++) {
			this.engines.add(new Engine(index));
		}
	}

	/**
	 * Plays a day.
	 * @param day what happens
	 * @param seed determines the draws
	 * @param attribution creates what a router decides by
	 * @return what was seen
	 */
	static Result play(Day day, long seed, Supplier<Attribution> attribution) {
		return new PartCrashSimulation(day, seed, attribution).run();
	}

	private Result run() {
		schedule(0, this::arrive);
		schedule(PERIOD_MS, this::exchange);
		this.day.kills().forEach((kill) -> schedule(kill.atMs(), () -> kill(kill)));
		while (!this.events.isEmpty() && this.events.peek().atMs() <= this.day.lengthMs()) {
			Event next = this.events.poll();
			this.nowMs = next.atMs();
			next.action().run();
		}
		long fifthMs = (this.crashesAtMs.size() >= 5) ? this.crashesAtMs.get(4) : Long.MAX_VALUE / 2;
		int late = (int) this.crashingSendsAtMs.stream().filter((atMs) -> atMs > fifthMs + 3000).count();
		return new Result(this.crashesAtMs.size(), late, this.refusedSound.size(), this.soundArrived,
				this.soundRefused);
	}

	private void schedule(long delayMs, Runnable action) {
		this.events.add(new Event(this.nowMs + delayMs, this.scheduled++, action));
	}

	private void arrive() {
		schedule(1 + (long) (-Math.log(1 - this.random.nextDouble()) * 1000 / this.day.perSecond()), this::arrive);
		boolean crashing = this.nowMs >= this.day.crashingFromMs()
				&& this.random.nextDouble() < this.day.crashingRatio();
		List<PromptPart> parts = new ArrayList<>();
		// Some parts are in far more requests than others.
		double skewed = Math.pow(this.random.nextDouble(), this.day.skew());
		parts.add(new PromptPart((crashing && this.day.oneFirstPart()) ? 0 : (long) (skewed * this.day.firstParts())));
		if (crashing) {
			parts.add(CRASHING);
		}
		else if (this.random.nextDouble() < this.day.sessionRatio()) {
			parts.add(new PromptPart(1_000_000 + this.random.nextInt(this.day.sessions())));
		}
		this.soundArrived += crashing ? 0 : 1;
		Request request = new Request(new RequestFingerprint(this.sent++), parts, crashing,
				this.random.nextInt(this.day.routers()));
		send(request, 0);
	}

	private void send(Request request, int sends) {
		Attribution router = this.routers.get(request.router());
		if (router.refuses(request.parts(), this.nowMs)) {
			if (!request.crashing()) {
				this.soundRefused++;
				this.refusedSound.addAll(request.parts());
			}
			return;
		}
		List<Engine> alive = this.engines.stream().filter((engine) -> engine.backAtMs <= this.nowMs).toList();
		if (alive.isEmpty() || sends > 2) {
			return;
		}
		// Routers that decide alike prefer the same engines.
		Engine engine = alive.get(Math.min(this.random.nextInt(alive.size()), this.random.nextInt(alive.size())));
		if (request.crashing()) {
			this.crashingSendsAtMs.add(this.nowMs);
		}
		Run run = new Run(request, engine, this.nowMs, sends + 1);
		engine.runs.add(run);
		if (request.crashing()) {
			schedule(READING_MS + CRASHES_AFTER_MS, () -> {
				if (engine.runs.contains(run)) {
					this.crashesAtMs.add(this.nowMs);
					crash(engine);
				}
			});
			return;
		}
		schedule(READING_MS + FIRST_EVENT_MS + HARMLESS_MS, () -> {
			if (engine.runs.contains(run)) {
				router.ranWell(request.parts(), run.sentAtMs() + READING_MS, this.nowMs);
			}
		});
		schedule(ANSWER_MS, () -> engine.runs.remove(run));
	}

	private void kill(Kill kill) {
		for (int index = 0; index < kill.engines(); index++) {
			Engine engine = this.engines.get((kill.first() + index) % this.engines.size());
			schedule(index * kill.gapMs(), () -> {
				if (engine.backAtMs <= this.nowMs) {
					crash(engine);
				}
			});
		}
	}

	private void crash(Engine engine) {
		engine.backAtMs = this.nowMs + BACK_AFTER_MS;
		List<Run> cut = List.copyOf(engine.runs);
		engine.runs.clear();
		String incarnation = engine.index + "@" + engine.crashes++;
		for (int index = 0; index < this.routers.size(); index++) {
			int router = index;
			schedule(this.random.nextInt(NOTICED_WITHIN_MS),
					() -> cut.stream()
						.filter((run) -> run.request().router() == router)
						.forEach((run) -> onCut(run, incarnation)));
		}
		schedule(NOTICED_WITHIN_MS + URGENT_MS, () -> this.routers.forEach((router) -> tell(router, this.routers)));
	}

	private void onCut(Run run, String incarnation) {
		long ranMs = this.nowMs - run.sentAtMs();
		if (ranMs < READING_MS + FIRST_EVENT_MS + HARMLESS_MS) {
			this.routers.get(run.request().router())
				.crashed(run.request(),
						new CrashingParts.Crash(incarnation, run.sentAtMs(), this.nowMs, ranMs >= READING_MS),
						this.nowMs);
		}
		send(run.request(), run.sends());
	}

	private void exchange() {
		schedule(PERIOD_MS, this::exchange);
		for (Attribution router : this.routers) {
			List<Attribution> peers = new ArrayList<>();
			for (int sends = 0; sends < PEERS_PER_PERIOD; sends++) {
				peers.add(this.routers.get(this.random.nextInt(this.routers.size())));
			}
			tell(router, peers);
			peers.forEach((peer) -> tell(peer, List.of(router)));
		}
	}

	private void tell(Attribution router, List<Attribution> peers) {
		for (Attribution peer : peers) {
			if (peer != router && this.random.nextDouble() >= LOSS_RATIO) {
				router.tell(peer, this.nowMs);
			}
		}
	}

	/** What a router decides by. */
	interface Attribution {

		void crashed(Request request, CrashingParts.Crash crash, long nowMs);

		void ranWell(List<PromptPart> parts, long begunAtMs, long nowMs);

		boolean refuses(List<PromptPart> parts, long nowMs);

		void tell(Attribution peer, long nowMs);

	}

	/** The attribution of the product. */
	static final class Product implements Attribution {

		private final CrashingParts parts = new CrashingParts();

		@Override
		public void crashed(Request request, CrashingParts.Crash crash, long nowMs) {
			this.parts.crashed(request.fingerprint(), request.parts(), crash, nowMs);
		}

		@Override
		public void ranWell(List<PromptPart> ran, long begunAtMs, long nowMs) {
			this.parts.ranWell(ran, begunAtMs, nowMs);
		}

		@Override
		public boolean refuses(List<PromptPart> wanted, long nowMs) {
			return this.parts.refusal(wanted, nowMs, (part) -> false).isPresent();
		}

		@Override
		public void tell(Attribution peer, long nowMs) {
			this.parts.historiesToSend(nowMs).forEach((history) -> ((Product) peer).parts.receive(history, nowMs));
		}

	}

	/**
	 * What happens on a day.
	 *
	 * @param routers the number of routers
	 * @param engines the number of engines at which requests start
	 * @param lengthMs its length, in milliseconds
	 * @param perSecond requests per second
	 * @param firstParts the number of different first parts
	 * @param skew how unevenly requests use them; 1 for evenly
	 * @param sessionRatio the ratio of requests with a second shared part
	 * @param sessions the number of different second parts
	 * @param crashingRatio the ratio of requests with the crashing part
	 * @param crashingFromMs when they begin to come, in milliseconds
	 * @param oneFirstPart whether they all have the same first part
	 * @param kills engines that end for another reason
	 */
	record Day(int routers, int engines, long lengthMs, double perSecond, int firstParts, double skew,
			double sessionRatio, int sessions, double crashingRatio, long crashingFromMs, boolean oneFirstPart,
			List<Kill> kills) {
	}

	/**
	 * Engines that end for another reason.
	 *
	 * @param atMs when the first of them ends, in milliseconds
	 * @param first the index of the first of them
	 * @param engines their number
	 * @param gapMs the time between two of them, in milliseconds
	 */
	record Kill(long atMs, int first, int engines, long gapMs) {
	}

	/**
	 * What was seen on a day.
	 *
	 * @param crashes how many engines the part crashed
	 * @param lateSends how often requests with the part were sent later than three
	 * seconds after the fifth crash
	 * @param wrongParts how many parts sound requests were refused for
	 * @param sound the number of sound requests
	 * @param soundRefused how many of them were refused
	 */
	record Result(int crashes, int lateSends, int wrongParts, int sound, int soundRefused) {
	}

	record Request(RequestFingerprint fingerprint, List<PromptPart> parts, boolean crashing, int router) {
	}

	private record Run(Request request, Engine engine, long sentAtMs, int sends) {
	}

	private record Event(long atMs, long number, Runnable action) {
	}

	private static final class Engine {

		private final int index;

		/** In the order in which they were sent, as each is known by its identity. */
		private final Set<Run> runs = new LinkedHashSet<>();

		private long backAtMs;

		private int crashes;

		Engine(int index) {
			this.index = index;
		}

	}

}
