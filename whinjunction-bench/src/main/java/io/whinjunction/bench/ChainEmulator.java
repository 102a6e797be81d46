package io.whinjunction.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import io.whinjunction.chain.Engine;
import io.whinjunction.chain.Hop;
import io.whinjunction.chain.PathCosts;
import io.whinjunction.chain.Placement;

/**
 * Engines, streams and routers in virtual time, by the engines' published figures: what
 * came during one pass is served by the next; a pass takes its layers' fixed time and
 * more for each token and prompt; an engine that has no room puts a request back.
 * <p>
 * Invariant: the same seed gives the same run. Confined to one thread.
 */
final class ChainEmulator {

	private static final double HOP_MS = 0.2;

	/** From a death to the moment at which streams go on elsewhere, in milliseconds. */
	private static final double NOTICE_MS = 180;

	/** From a death to the orders that repair it, in milliseconds. */
	private static final double ORDER_MS = 350;

	private static final int CHUNK_TOKENS = 512;

	private final ChainFleet fleet;

	private final ChainPolicy policy;

	private final ChainScenario scenario;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, Station> stations = new HashMap<>();

	private final List<EmulatedStream> streams = new ArrayList<>();

	/** Room that was taken when routers last heard of each other, by engine. */
	private Map<String, Double> known = Map.of();

	private List<Engine> holders;

	private double knownAtMs = Double.NEGATIVE_INFINITY;

	private double nowMs;

	private long order;

	ChainEmulator(ChainFleet fleet, ChainPolicy policy, List<Engine> empty, ChainScenario scenario) {
		this.fleet = fleet;
		this.policy = policy;
		this.scenario = scenario;
		this.random = new Random(scenario.seed());
		for (Engine engine : ChainFleet.carriedOut(empty, policy.place(empty))) {
			this.stations.put(engine.id(), new Station(engine));
		}
	}

	/**
	 * Plays the scenario.
	 * @return what callers saw
	 */
	ChainResult run() {
		for (double atMs = 0; atMs < this.scenario.lengthMs(); atMs += gapMs(atMs)) {
			at(atMs, this::arrive);
		}
		if (this.scenario.deaths() > 0) {
			at(this.scenario.lengthMs() / 3, this::kill);
		}
		if (this.scenario.slowed() > 0) {
			at(this.scenario.lengthMs() / 3, this::slow);
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
		return result();
	}

	private double gapMs(double atMs) {
		boolean burst = atMs > this.scenario.lengthMs() / 2 && atMs < this.scenario.lengthMs() * 2 / 3;
		double rate = this.scenario.requestsPerSecond() * (burst ? this.scenario.burst() : 1);
		return -Math.log(1 - this.random.nextDouble()) * 1000 / rate;
	}

	private void at(double atMs, Runnable action) {
		this.events.add(new Event(atMs, this.order++, action));
	}

	private void arrive() {
		int usualPrompt = this.fleet.model().meanPromptTokens();
		int usualAnswer = this.fleet.model().meanAnswerTokens();
		int prompt = (int) Math.clamp(-Math.log(1 - this.random.nextDouble()) * usualPrompt, 20, 3 * usualPrompt);
		int answer = (int) Math.clamp(-Math.log(1 - this.random.nextDouble()) * usualAnswer, 8, 3 * usualAnswer);
		EmulatedStream stream = new EmulatedStream("d" + this.random.nextInt(this.scenario.domains()),
				this.random.nextInt(this.scenario.routers()), prompt, answer, this.fleet.model().stepsPerPass(),
				this.nowMs);
		this.streams.add(stream);
		send(stream);
	}

	private void send(EmulatedStream stream) {
		Optional<List<Hop>> path = choose(stream);
		if (path.isPresent() && !fits(stream, path.get())) {
			// An engine without room says so, and the router looks again.
			this.knownAtMs = Double.NEGATIVE_INFINITY;
			path = choose(stream);
		}
		if (path.isEmpty() || !fits(stream, path.get())) {
			stream.fail();
			return;
		}
		stream.begin(path.get());
		path.get().forEach((hop) -> station(hop).reserve(stream, hop));
		arriveAt(stream, stream.run(), 0);
	}

	private Optional<List<Hop>> choose(EmulatedStream stream) {
		List<Engine> holders = holders();
		return this.policy.path(holders, loads(holders, stream.router()), stream.domain(), stream.tokens());
	}

	private boolean fits(EmulatedStream stream, List<Hop> path) {
		return path.stream().allMatch((hop) -> station(hop).fits(stream, hop));
	}

	private List<Engine> holders() {
		if (this.holders == null) {
			this.holders = this.stations.values()
				.stream()
				.filter((station) -> !station.noticedDead && station.engine.held() != null)
				.map((station) -> station.engine)
				.sorted(Comparator.comparing(Engine::id))
				.toList();
		}
		return this.holders;
	}

	// A router knows its own requests at once and the others' as of their last words; of
	// prompts that wait it knows its own only, and takes the others' for alike.
	private Map<String, PathCosts.Load> loads(List<Engine> holders, int router) {
		boolean allKnown = holders.stream().allMatch((engine) -> this.known.containsKey(engine.id()));
		if (!allKnown || this.nowMs - this.knownAtMs >= this.scenario.lagMs()) {
			this.known = new HashMap<>();
			this.knownAtMs = this.nowMs;
			holders.forEach((engine) -> this.known.put(engine.id(), this.stations.get(engine.id()).tell()));
		}
		Map<String, PathCosts.Load> loads = new HashMap<>();
		for (Engine engine : holders) {
			loads.put(engine.id(), this.stations.get(engine.id()).load(this.known.get(engine.id()), router));
		}
		return loads;
	}

	private Station station(Hop hop) {
		return this.stations.get(hop.engine().id());
	}

	private void arriveAt(EmulatedStream stream, int run, int hop) {
		if (stream.run() != run || stream.failed()) {
			return;
		}
		station(stream.path().get(hop)).enqueue(new Work(stream, run, hop));
	}

	private void passed(Work work) {
		EmulatedStream stream = work.stream();
		if (stream.run() != work.run() || stream.failed()) {
			return;
		}
		int next = work.hop() + 1;
		if (next < stream.path().size()) {
			at(this.nowMs + HOP_MS, () -> arriveAt(stream, work.run(), next));
			return;
		}
		stream.token(this.nowMs);
		if (stream.waiting()) {
			at(this.nowMs + HOP_MS, () -> arriveAt(stream, work.run(), 0));
		}
		else {
			release(stream);
		}
	}

	private void release(EmulatedStream stream) {
		stream.path().forEach((hop) -> station(hop).free(stream, hop));
	}

	private void kill() {
		List<Station> holding = this.stations.values()
			.stream()
			.filter((station) -> station.engine.held() != null)
			.sorted(Comparator.comparing((station) -> station.engine.id()))
			.toList();
		for (int count = 0; count < this.scenario.deaths(); count++) {
			Station station = holding.get(this.random.nextInt(holding.size()));
			station.dead = true;
			at(this.nowMs + NOTICE_MS, () -> noticed(station));
		}
		at(this.nowMs + ORDER_MS, this::repair);
	}

	private void slow() {
		this.stations.values()
			.stream()
			.filter((station) -> station.engine.held() != null)
			.sorted(Comparator.comparing((station) -> station.engine.id()))
			.limit(this.scenario.slowed())
			.forEach((station) -> station.pace = 5);
	}

	private void noticed(Station station) {
		station.noticedDead = true;
		this.holders = null;
		for (EmulatedStream stream : this.streams) {
			boolean waits = stream.waiting() && stream.path().stream().anyMatch((hop) -> station(hop) == station);
			if (waits && !(this.policy instanceof ChainPolicy.OneReplica)) {
				release(stream);
				send(stream);
			}
		}
	}

	private void repair() {
		List<Engine> living = this.stations.values()
			.stream()
			.filter((station) -> !station.dead)
			.map((station) -> station.engine)
			.toList();
		for (Placement placement : this.policy.repair(living)) {
			Station station = this.stations.get(placement.engine().id());
			int added = placement.layers().end() - placement.layers().first() - station.engine.heldLayers();
			double loadMs = ChainEmulator.this.fleet.model().loadSeconds() * 1000 * added
					/ ChainEmulator.this.fleet.model().layers();
			at(this.nowMs + loadMs, () -> {
				station.engine = ChainFleet.holding(station.engine, placement);
				this.holders = null;
			});
		}
	}

	private ChainResult result() {
		ChainResult result = new ChainResult(this.fleet.pauseAimMs());
		this.streams.forEach(result::add);
		return result;
	}

	private record Event(double atMs, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Double.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	private record Work(EmulatedStream stream, int run, int hop) {
	}

	/** An engine at work; confined to the emulator. */
	private final class Station {

		private Engine engine;

		private final ArrayDeque<Work> waiting = new ArrayDeque<>();

		private boolean working;

		private boolean dead;

		private boolean noticedDead;

		private double pace = 1;

		private double usedTokenLayers;

		/** Room that each router has taken since it last told the others. */
		private final double[] untold = new double[ChainEmulator.this.scenario.routers()];

		private final double[] unreadTokens = new double[ChainEmulator.this.scenario.routers()];

		Station(Engine engine) {
			this.engine = engine;
		}

		void reserve(EmulatedStream stream, Hop hop) {
			double taken = stream.tokens() * (double) (hop.layers().end() - hop.layers().first());
			this.usedTokenLayers += taken;
			this.untold[stream.router()] += taken;
			this.unreadTokens[stream.router()] += stream.unreadTokens();
		}

		double tell() {
			Arrays.fill(this.untold, 0);
			return this.usedTokenLayers;
		}

		boolean fits(EmulatedStream stream, Hop hop) {
			double room = ChainEmulator.this.fleet.model()
				.kvCapacityTokenLayers(this.engine.kind(), this.engine.heldLayers());
			int layers = hop.layers().end() - hop.layers().first();
			return this.usedTokenLayers + stream.tokens() * (double) layers <= room;
		}

		void free(EmulatedStream stream, Hop hop) {
			this.usedTokenLayers -= stream.tokens() * (double) (hop.layers().end() - hop.layers().first());
		}

		PathCosts.Load load(double told, int router) {
			double room = ChainEmulator.this.fleet.model()
				.kvCapacityTokenLayers(this.engine.kind(), this.engine.heldLayers());
			double unread = Math.max(0, this.unreadTokens[router]) * this.untold.length;
			return new PathCosts.Load((told + this.untold[router]) / Math.max(1, room), unread, this.pace, false);
		}

		void enqueue(Work work) {
			this.waiting.add(work);
			if (!this.working) {
				pass();
			}
		}

		private void pass() {
			this.working = !this.waiting.isEmpty() && !this.dead;
			if (!this.working) {
				return;
			}
			List<Work> batch = new ArrayList<>(this.waiting);
			this.waiting.clear();
			int layers = 0;
			double passMs = 0;
			for (Work work : batch) {
				int held = layersOf(work);
				layers = Math.max(layers, held);
				passMs += held * (ChainEmulator.this.fleet.model().layerStepMs(this.engine.kind(), 1)
						- ChainEmulator.this.fleet.model().layerStepMs(this.engine.kind(), 0));
				passMs += ChainEmulator.this.fleet.model().readMs(this.engine.kind(), held, read(work));
			}
			passMs += layers * ChainEmulator.this.fleet.model().layerStepMs(this.engine.kind(), 0);
			at(ChainEmulator.this.nowMs + passMs * this.pace, () -> finish(batch));
		}

		// A pass reads no more than a chunk of a prompt; the rest waits for the next.
		private int read(Work work) {
			int read = work.stream().read(CHUNK_TOKENS);
			this.unreadTokens[work.stream().router()] -= read;
			return read;
		}

		private int layersOf(Work work) {
			if (work.hop() >= work.stream().path().size()) {
				return 1;
			}
			Hop hop = work.stream().path().get(work.hop());
			return hop.layers().end() - hop.layers().first();
		}

		private void passedOrReadOn(Work work) {
			boolean current = work.run() == work.stream().run();
			if (current && !work.stream().readWhole()) {
				this.waiting.add(work);
				return;
			}
			passed(work);
		}

		private void finish(List<Work> batch) {
			if (!this.dead) {
				batch.forEach(this::passedOrReadOn);
				this.working = false;
				pass();
			}
		}

	}

}
