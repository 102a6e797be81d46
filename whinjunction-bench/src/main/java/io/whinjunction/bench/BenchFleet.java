package io.whinjunction.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Place;
import io.whinjunction.configuration.Service;
import io.whinjunction.configuration.Team;
import io.whinjunction.pipeline.ChoicePolicy;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.place.PlaceRules;
import io.whinjunction.place.Placement;
import io.whinjunction.session.DraftRequest;
import io.whinjunction.session.DraftResult;
import io.whinjunction.session.DraftSession;
import io.whinjunction.session.RetryBudget;
import io.whinjunction.session.TokenSink;
import io.whinjunction.time.Ticker;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultWeightedEdge;
import org.jgrapht.graph.SimpleDirectedWeightedGraph;

/**
 * Fleet of the current size: 40 engines of eight kinds on four layer ranges in three
 * failure domains, and eight entries that decide independently, each with the product's
 * upstream table, pipeline chooser and retry budget. Thread-safe once constructed.
 */
final class BenchFleet implements AutoCloseable {

	static final int ENTRIES = 8;

	private static final double[] KIND_RATES = { 50, 75, 100, 150, 200, 300, 500, 800 };

	/** One-way latency by failure domain, from 0.1 to 10 ms: a factor of 100. */
	private static final double[] LINK_MS = { 0.1, 1, 10 };

	private static final List<String> DOMAINS = List.of("d0", "d1", "d2");

	private static final int PER_RANGE = 10;

	private static final long REPORT_INTERVAL_MS = 100;

	private static final int STEP_TIMEOUT_MS = 1000;

	private final Service.Model model;

	private final Team team = new Team("t", Set.of(), Set.of("llm"), Set.of("p"), 1e9, 1);

	private final Placement placement = new Placement(this.team, new PlaceRules(
			new Configuration(1, Map.of("p", new Place("p", "r", Set.copyOf(DOMAINS))), Map.of(), Map.of())));

	private final BenchEngines engines = new BenchEngines();

	private final List<Upstream> upstreams = new ArrayList<>();

	private final List<EntryState> entries = new ArrayList<>();

	private final Ticker ticker = Ticker.system();

	private final Thread reporter;

	private volatile boolean closed;

	BenchFleet(Supplier<ChoicePolicy> policies, long reportLagMs, long seed) {
		List<LayerRange> ranges = List.of(new LayerRange(0, 8), new LayerRange(8, 16), new LayerRange(16, 24),
				new LayerRange(24, 32));
		this.model = new Service.Model("llm", 32, ranges, true, PER_RANGE, STEP_TIMEOUT_MS, 600_000);
		for (int r = 0; r < ranges.size(); r++) {
			for (int i = 0; i < PER_RANGE; i++) {
				double rate = KIND_RATES[(i + 3 * r) % KIND_RATES.length];
				int domain = (i + r) % DOMAINS.size();
				String id = "e" + r + "-" + i;
				this.engines.add(id, rate, LINK_MS[domain], r == ranges.size() - 1);
				this.upstreams.add(new Upstream(id, "llm", id, DOMAINS.get(domain), ranges.get(r), 1, rate, 0, false));
			}
		}
		RandomGenerator seeds = new Random(seed);
		for (int i = 0; i < ENTRIES; i++) {
			UpstreamTable table = new UpstreamTable();
			table.replace(this.upstreams);
			this.entries.add(new EntryState(table,
					new PipelineChooser(table, policies.get(), this.ticker, new Random(seeds.nextLong())),
					new RetryBudget(0.1, 256)));
		}
		this.reporter = Thread.ofPlatform().daemon().start(() -> report(reportLagMs));
	}

	/**
	 * Returns the upper bound on the throughput of the engines at their current rates:
	 * the maximum flow from the first range to the last, with the rate of each engine as
	 * its capacity.
	 * @return the bound, in tokens per second
	 */
	double boundPerSecond() {
		SimpleDirectedWeightedGraph<String, DefaultWeightedEdge> graph = new SimpleDirectedWeightedGraph<>(
				DefaultWeightedEdge.class);
		graph.addVertex("j0");
		for (int r = 0; r < this.model.ranges().size(); r++) {
			graph.addVertex("j" + (r + 1));
			for (Upstream upstream : this.upstreams) {
				if (upstream.range().equals(this.model.ranges().get(r))) {
					graph.addVertex(upstream.id());
					graph.setEdgeWeight(graph.addEdge("j" + r, upstream.id()),
							this.engines.server(upstream.id()).currentRate());
					graph.setEdgeWeight(graph.addEdge(upstream.id(), "j" + (r + 1)), Double.MAX_VALUE / 4);
				}
			}
		}
		return new PushRelabelMFImpl<>(graph).getMaximumFlowValue("j0", "j" + this.model.ranges().size());
	}

	BenchEngines engines() {
		return this.engines;
	}

	List<Upstream> upstreams() {
		return this.upstreams;
	}

	DraftResult draft(int entry, String id, int tokens, long deadlineMs, TokenSink sink) {
		EntryState state = this.entries.get(entry % ENTRIES);
		DraftRequest request = new DraftRequest(id, this.model, () -> this.placement, "p", tokens,
				this.ticker.nowMs() + deadlineMs);
		return new DraftSession(request, state.chooser(), state.table(), this.engines, state.budget(), this.ticker)
			.run(sink);
	}

	@Override
	public void close() {
		this.closed = true;
		this.reporter.interrupt();
	}

	private void report(long lagMs) {
		Deque<Map<String, Integer>> history = new ArrayDeque<>();
		while (!this.closed) {
			Map<String, Integer> now = new HashMap<>();
			this.upstreams.forEach((upstream) -> now.put(upstream.id(), this.engines.server(upstream.id()).running()));
			history.addLast(now);
			while (history.size() > 1 + lagMs / REPORT_INTERVAL_MS) {
				history.removeFirst();
			}
			Map<String, Integer> lagged = history.getFirst();
			List<Upstream> reported = this.upstreams.stream()
				.map((one) -> new Upstream(one.id(), one.service(), one.address(), one.failureDomain(), one.range(),
						one.generation(), one.tokensPerSecond(), lagged.get(one.id()), false))
				.toList();
			this.entries.forEach((entry) -> entry.table().replace(reported));
			try {
				this.ticker.sleepMs(REPORT_INTERVAL_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private record EntryState(UpstreamTable table, PipelineChooser chooser, RetryBudget budget) {
	}

}
