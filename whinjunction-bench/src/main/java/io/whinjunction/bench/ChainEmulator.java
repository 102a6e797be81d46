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
 * Discrete-event simulation of engines, streams and routers in virtual time, based on the
 * published figures of the engines. Work that arrives during a pass is served by the next
 * one. A pass takes the fixed time of its layers, and more for each token and each
 * prompt. An engine without free memory rejects a request.
 * <p>
 * Invariant: runs with the same seed are identical. Confined to one thread.
 */
final class ChainEmulator {

	private static final double HOP_MS = 0.2;

	/** Time from a crash to the failover of its streams, in milliseconds. */
	private static final double DETECTION_MS = 180;

	/** Time from a crash to the orders that repair the plan, in milliseconds. */
	private static final double REPAIR_ORDER_MS = 350;

	private static final int MAX_CHUNK_TOKENS = 512;

	private final ChainFleet fleet;

	private final ChainPolicy policy;

	private final ChainScenario scenario;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, Station> stations = new HashMap<>();

	private final List<EmulatedStream> streams = new ArrayList<>();

	/** Memory reserved at the last exchange of loads between routers, by engine id. */
	private Map<String, Double> reportedTokenLayers = Map.of();

	private List<Engine> holders;

	private double reportedAtMs = Double.NEGATIVE_INFINITY;

	private double nowMs;

	private long sequence;

	ChainEmulator(ChainFleet fleet, ChainPolicy policy, List<Engine> empty, ChainScenario scenario) {
		this.fleet = fleet;
		this.policy = policy;
		this.scenario = scenario;
		this.random = new Random(scenario.seed());
		for (Engine engine : ChainFleet.withPlacements(empty, policy.place(empty))) {
			this.stations.put(engine.id(), new Station(engine));
		}
	}

	/**
	 * Runs the scenario.
	 * @return the results of its streams
	 */
	ChainResult run() {
		for (double atMs = 0; atMs < this.scenario.durationMs(); atMs += interarrivalMs(atMs)) {
			schedule(atMs, this::sendNewRequest);
		}
		if (this.scenario.crashes() > 0) {
			schedule(this.scenario.durationMs() / 3, this::crashEngines);
		}
		if (this.scenario.slowedEngines() > 0) {
			schedule(this.scenario.durationMs() / 3, this::slowEngines);
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
		return result();
	}

	private double interarrivalMs(double atMs) {
		boolean burst = atMs > this.scenario.durationMs() / 2 && atMs < this.scenario.durationMs() * 2 / 3;
		double rate = this.scenario.requestsPerSecond() * (burst ? this.scenario.burstFactor() : 1);
		return -Math.log(1 - this.random.nextDouble()) * 1000 / rate;
	}

	private void schedule(double atMs, Runnable action) {
		this.events.add(new Event(atMs, this.sequence++, action));
	}

	private void sendNewRequest() {
		int meanPrompt = this.fleet.model().meanPromptTokens();
		int meanAnswer = this.fleet.model().meanAnswerTokens();
		int prompt = (int) Math.clamp(-Math.log(1 - this.random.nextDouble()) * meanPrompt, 20, 3 * meanPrompt);
		int answer = (int) Math.clamp(-Math.log(1 - this.random.nextDouble()) * meanAnswer, 8, 3 * meanAnswer);
		EmulatedStream stream = new EmulatedStream("d" + this.random.nextInt(this.scenario.domains()),
				this.random.nextInt(this.scenario.routers()), prompt, answer, this.fleet.model().stepsPerPass(),
				this.nowMs);
		this.streams.add(stream);
		send(stream);
	}

	private void send(EmulatedStream stream) {
		Optional<List<Hop>> path = choose(stream);
		if (path.isPresent() && !fits(stream, path.get())) {
			// The engine rejects the request; the router chooses again by current loads.
			this.reportedAtMs = Double.NEGATIVE_INFINITY;
			path = choose(stream);
		}
		if (path.isEmpty() || !fits(stream, path.get())) {
			stream.fail();
			return;
		}
		stream.startAttempt(path.get());
		path.get().forEach((hop) -> station(hop).reserve(stream, hop));
		enqueueAt(stream, stream.attempt(), 0);
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
				.filter((station) -> !station.crashDetected && station.engine.held() != null)
				.map((station) -> station.engine)
				.sorted(Comparator.comparing(Engine::id))
				.toList();
		}
		return this.holders;
	}

	// A router tracks its own requests immediately and those of its peers as of their
	// last reports. Of queued prompts it tracks its own only, and assumes that each of
	// its peers has as many.
	private Map<String, PathCosts.Load> loads(List<Engine> holders, int router) {
		boolean allReported = holders.stream().allMatch((engine) -> this.reportedTokenLayers.containsKey(engine.id()));
		if (!allReported || this.nowMs - this.reportedAtMs >= this.scenario.maxReportAgeMs()) {
			this.reportedTokenLayers = new HashMap<>();
			this.reportedAtMs = this.nowMs;
			holders.forEach(
					(engine) -> this.reportedTokenLayers.put(engine.id(), this.stations.get(engine.id()).report()));
		}
		Map<String, PathCosts.Load> loads = new HashMap<>();
		for (Engine engine : holders) {
			loads.put(engine.id(),
					this.stations.get(engine.id()).load(this.reportedTokenLayers.get(engine.id()), router));
		}
		return loads;
	}

	private Station station(Hop hop) {
		return this.stations.get(hop.engine().id());
	}

	private void enqueueAt(EmulatedStream stream, int attempt, int hop) {
		if (stream.attempt() != attempt || stream.failed()) {
			return;
		}
		station(stream.path().get(hop)).enqueue(new Work(stream, attempt, hop));
	}

	private void finishHop(Work work) {
		EmulatedStream stream = work.stream();
		if (stream.attempt() != work.attempt() || stream.failed()) {
			return;
		}
		int next = work.hop() + 1;
		if (next < stream.path().size()) {
			schedule(this.nowMs + HOP_MS, () -> enqueueAt(stream, work.attempt(), next));
			return;
		}
		stream.token(this.nowMs);
		if (stream.inProgress()) {
			schedule(this.nowMs + HOP_MS, () -> enqueueAt(stream, work.attempt(), 0));
		}
		else {
			release(stream);
		}
	}

	private void release(EmulatedStream stream) {
		stream.path().forEach((hop) -> station(hop).free(stream, hop));
	}

	private void crashEngines() {
		List<Station> holding = this.stations.values()
			.stream()
			.filter((station) -> station.engine.held() != null)
			.sorted(Comparator.comparing((station) -> station.engine.id()))
			.toList();
		for (int count = 0; count < this.scenario.crashes(); count++) {
			Station station = holding.get(this.random.nextInt(holding.size()));
			station.crashed = true;
			schedule(this.nowMs + DETECTION_MS, () -> failOver(station));
		}
		schedule(this.nowMs + REPAIR_ORDER_MS, this::repair);
	}

	private void slowEngines() {
		this.stations.values()
			.stream()
			.filter((station) -> station.engine.held() != null)
			.sorted(Comparator.comparing((station) -> station.engine.id()))
			.limit(this.scenario.slowedEngines())
			.forEach((station) -> station.slowdown = 5);
	}

	private void failOver(Station station) {
		station.crashDetected = true;
		this.holders = null;
		for (EmulatedStream stream : this.streams) {
			boolean affected = stream.inProgress() && stream.path().stream().anyMatch((hop) -> station(hop) == station);
			if (affected && !(this.policy instanceof ChainPolicy.OneReplica)) {
				release(stream);
				send(stream);
			}
		}
	}

	private void repair() {
		List<Engine> alive = this.stations.values()
			.stream()
			.filter((station) -> !station.crashed)
			.map((station) -> station.engine)
			.toList();
		for (Placement placement : this.policy.repair(alive)) {
			Station station = this.stations.get(placement.engine().id());
			int added = placement.layers().end() - placement.layers().first() - station.engine.heldLayers();
			double loadMs = ChainEmulator.this.fleet.model().loadSeconds() * 1000 * added
					/ ChainEmulator.this.fleet.model().layers();
			schedule(this.nowMs + loadMs, () -> {
				station.engine = ChainFleet.withPlacement(station.engine, placement);
				this.holders = null;
			});
		}
	}

	private ChainResult result() {
		ChainResult result = new ChainResult(this.fleet.pauseTargetMs());
		this.streams.forEach(result::add);
		return result;
	}

	private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Double.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

	private record Work(EmulatedStream stream, int attempt, int hop) {
	}

	/** Queue, passes and memory of one engine. Confined to the emulator. */
	private final class Station {

		private Engine engine;

		private final ArrayDeque<Work> waiting = new ArrayDeque<>();

		private boolean working;

		private boolean crashed;

		private boolean crashDetected;

		private double slowdown = 1;

		private double usedTokenLayers;

		/** Memory that each router has reserved since its last report to its peers. */
		private final double[] unreportedTokenLayers = new double[ChainEmulator.this.scenario.routers()];

		private final double[] unreadTokens = new double[ChainEmulator.this.scenario.routers()];

		Station(Engine engine) {
			this.engine = engine;
		}

		void reserve(EmulatedStream stream, Hop hop) {
			double taken = stream.tokens() * (double) (hop.layers().end() - hop.layers().first());
			this.usedTokenLayers += taken;
			this.unreportedTokenLayers[stream.router()] += taken;
			this.unreadTokens[stream.router()] += stream.unreadTokens();
		}

		double report() {
			Arrays.fill(this.unreportedTokenLayers, 0);
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

		PathCosts.Load load(double reported, int router) {
			double room = ChainEmulator.this.fleet.model()
				.kvCapacityTokenLayers(this.engine.kind(), this.engine.heldLayers());
			double unread = Math.max(0, this.unreadTokens[router]) * this.unreportedTokenLayers.length;
			return new PathCosts.Load((reported + this.unreportedTokenLayers[router]) / Math.max(1, room), unread,
					this.slowdown, false);
		}

		void enqueue(Work work) {
			this.waiting.add(work);
			if (!this.working) {
				startPass();
			}
		}

		private void startPass() {
			this.working = !this.waiting.isEmpty() && !this.crashed;
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
				passMs += ChainEmulator.this.fleet.model().prefillMs(this.engine.kind(), held, read(work));
			}
			passMs += layers * ChainEmulator.this.fleet.model().layerStepMs(this.engine.kind(), 0);
			schedule(ChainEmulator.this.nowMs + passMs * this.slowdown, () -> finishPass(batch));
		}

		// A pass reads at most one chunk of a prompt; the rest is left to later passes.
		private int read(Work work) {
			int read = work.stream().read(MAX_CHUNK_TOKENS);
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

		private void completeOrContinueRead(Work work) {
			boolean current = work.attempt() == work.stream().attempt();
			if (current && !work.stream().endReadIfComplete()) {
				this.waiting.add(work);
				return;
			}
			finishHop(work);
		}

		private void finishPass(List<Work> batch) {
			if (!this.crashed) {
				batch.forEach(this::completeOrContinueRead);
				this.working = false;
				startPass();
			}
		}

	}

}
