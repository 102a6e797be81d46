package io.whinjunction.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

import com.sun.management.ThreadMXBean;
import io.whinjunction.admission.AdmissionQueue;
import io.whinjunction.admission.ConcurrencyLimit;
import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.ConfigurationReader;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Service;
import io.whinjunction.configuration.Team;
import io.whinjunction.limit.LimitOwner;
import io.whinjunction.limit.TeamLimits;
import io.whinjunction.membership.Member;
import io.whinjunction.membership.MembershipTable;
import io.whinjunction.order.PlacementPlanner;
import io.whinjunction.pipeline.ChoicePolicy;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.place.PlaceRules;
import io.whinjunction.place.Placement;
import io.whinjunction.time.Ticker;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Measures the cost of decisions as tables grow to the target size: the same code on
 * growing tables, without an emulated fleet.
 */
final class SlopeBench {

	private static final int[] UPSTREAM_COUNTS = { 47, 470, 1500, 4700 };

	private static final int[] MEMBER_COUNTS = { 8, 39, 130, 390 };

	private static final int[] TEAM_COUNTS = { 10, 50, 110, 220 };

	/** Runs between two reads of the clock, which keeps their cost low. */
	private static final int RUNS_PER_CLOCK_CHECK = 4;

	private static final int REGIONS = 4;

	private static final List<LayerRange> RANGES = List.of(new LayerRange(0, 8), new LayerRange(8, 16),
			new LayerRange(16, 24), new LayerRange(24, 32));

	private static final Service.Model MODEL = new Service.Model("llm", 32, RANGES, true, 2, 1000, 1000);

	private static final Team TEAM = new Team("t", Set.of(), Set.of("llm"), Set.of("p0"), 1000, 1);

	private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	/** Keeps results reachable, so that the compiler cannot eliminate the work. */
	private volatile Object sink;

	private final long runMs;

	SlopeBench(long runMs) {
		this.runMs = runMs;
	}

	void run(Report report) {
		for (int count : UPSTREAM_COUNTS) {
			upstreams(report, count);
		}
		for (int count : MEMBER_COUNTS) {
			members(report, count);
		}
		for (int count : TEAM_COUNTS) {
			teams(report, count);
		}
		for (int count : new int[] { 1000, 2000, 4000, 8000 }) {
			streams(report, count);
		}
		// The cost of a choice does not depend on the size of the fleet. Reading a
		// complete table is linear, with half as much again for cache effects.
		report.atMostTimes("choose.4700-upstreams", 10, "choose.47-upstreams");
		report.atMostTimes("gossip-digest.390-members", 73, "gossip-digest.8-members");
	}

	private void upstreams(Report report, int count) {
		Configuration configuration = configuration(10);
		List<Upstream> upstreams = fleet(count);
		long bytesBefore = usedBytes();
		UpstreamTable table = new UpstreamTable();
		table.replace(upstreams);
		upstreams.forEach((upstream) -> table.load(upstream.id()));
		report.put("table-memory." + count + "-upstreams", "KB", Math.max(0, usedBytes() - bytesBefore) / 1024.0);
		report.put("table-replace." + count + "-upstreams", "us", micros(() -> table.replace(upstreams)));
		PipelineChooser chooser = new PipelineChooser(table, ChoicePolicy.standard(), Ticker.system(), new Random(1));
		Placement placement = new Placement(TEAM, new PlaceRules(configuration));
		Runnable choose = () -> this.sink = chooser.pipeline(MODEL, placement, Set.of());
		report.put("choose." + count + "-upstreams", "us", micros(choose));
		report.put("choose-allocation." + count + "-upstreams", "bytes", meanAllocatedBytes(choose));
		List<Upstream> remaining = upstreams.stream().filter((upstream) -> !upstream.id().endsWith("7")).toList();
		report.put("plan." + count + "-upstreams", "us",
				micros(() -> this.sink = PlacementPlanner.plan(configuration, remaining, 4, 0)));
	}

	private void members(Report report, int count) {
		long bytesBefore = usedBytes();
		MembershipTable table = new MembershipTable(member(0), 3000);
		List<Member> members = new ArrayList<>();
		for (int i = 1; i < count; i++) {
			members.add(member(i));
		}
		table.merge(members, 0);
		report.put("members-memory." + count + "-members", "KB", Math.max(0, usedBytes() - bytesBefore) / 1024.0);
		Random random = new Random(1);
		report.put("gossip-digest." + count + "-members", "us", micros(() -> {
			table.tick(1);
			this.sink = table.probeTarget(random);
			this.sink = table.changes(16);
		}));
		LimitOwner owner = new LimitOwner();
		int[] next = { 0 };
		report.put("lend." + count + "-members", "us", micros(() -> {
			next[0]++;
			this.sink = owner.lend("t", 1000, "m" + next[0] % count, 10, next[0] / count);
		}));
	}

	private void teams(Report report, int count) {
		ObjectNode document = document(count);
		report.put("manifest." + count + "-teams", "bytes", document.toString().length());
		report.put("configuration-check." + count + "-teams", "us",
				micros(() -> this.sink = ConfigurationReader.check("bench", document, 1)));
		Configuration configuration = configuration(count);
		TeamLimits limits = new TeamLimits();
		List<Team> teams = List.copyOf(configuration.teams().values());
		long[] nowMs = { 0 };
		int[] next = { 0 };
		report.put("limit-start." + count + "-teams", "us",
				micros(() -> limits.tryStart(teams.get(next[0]++ % count), 390, nowMs[0]++ / 1000)));
		AdmissionQueue queue = new AdmissionQueue(ConcurrencyLimit.fixed(200), 400);
		report.put("admission." + count + "-teams", "us", micros(() -> {
			String team = teams.get(next[0]++ % count).name();
			if (queue.enter(team, 1, 1000) instanceof AdmissionQueue.Ticket.Admitted) {
				queue.leave(team, 1, 1);
			}
		}));
	}

	private void streams(Report report, int count) {
		long bytesBefore = usedBytes();
		CountDownLatch blocked = new CountDownLatch(count);
		CountDownLatch release = new CountDownLatch(1);
		BlockedDrafts drafts = new BlockedDrafts(blocked, release);
		for (int i = 0; i < count; i++) {
			drafts.start(i);
		}
		await(blocked);
		report.put("open-streams." + count + "-streams", "KB each",
				Math.max(0, usedBytes() - bytesBefore) / 1024.0 / count);
		release.countDown();
		drafts.join();
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private double micros(Runnable work) {
		meanMicros(work, this.runMs / 2);
		return meanMicros(work, this.runMs);
	}

	static double meanMicros(Runnable work, long durationMs) {
		long startNs = System.nanoTime();
		long endNs = startNs + durationMs * 1_000_000;
		long runs = 0;
		while (System.nanoTime() < endNs) {
			for (int i = 0; i < RUNS_PER_CLOCK_CHECK; i++) {
				work.run();
			}
			runs += RUNS_PER_CLOCK_CHECK;
		}
		return (System.nanoTime() - startNs) / 1000.0 / runs;
	}

	private static double meanAllocatedBytes(Runnable work) {
		long id = Thread.currentThread().threadId();
		long bytesBefore = THREADS.getThreadAllocatedBytes(id);
		for (int i = 0; i < 1000; i++) {
			work.run();
		}
		return (THREADS.getThreadAllocatedBytes(id) - bytesBefore) / 1000.0;
	}

	static long usedBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static List<Upstream> fleet(int count) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			LayerRange range = RANGES.get(i % RANGES.size());
			upstreams.add(new Upstream("engine-" + i, "llm", "10.0." + i / 256 + "." + i % 256 + ":8000",
					"d" + (i / RANGES.size()) % 9, range, 1, 100 + i % 8, i % 5, false));
		}
		return upstreams;
	}

	private static Configuration configuration(int teams) {
		return ((ConfigurationReader.Checked.Valid) ConfigurationReader.check("bench", document(teams), 1))
			.configuration();
	}

	static ObjectNode document(int teams) {
		ObjectNode document = Json.object();
		ObjectNode places = document.putObject("places");
		Map<String, List<String>> domains = new HashMap<>();
		for (int i = 0; i < 9; i++) {
			domains.computeIfAbsent("p" + i % REGIONS, (place) -> new ArrayList<>()).add("d" + i);
		}
		domains.forEach((place, names) -> {
			ArrayNode list = places.putObject(place).put("region", "r-" + place).putArray("failure-domains");
			names.forEach(list::add);
		});
		ObjectNode model = document.putObject("services").putObject("llm");
		model.put("kind", "model").put("layers", 32).put("upstreams-per-range", 12);
		ArrayNode ranges = model.putArray("layer-ranges");
		RANGES.forEach((range) -> ranges.add(range.toString()));
		ObjectNode teamsNode = document.putObject("teams");
		for (int i = 0; i < teams; i++) {
			ObjectNode team = teamsNode.putObject("team-" + i);
			team.putArray("key-sha256").add("%064x".formatted(i));
			team.putArray("services").add("llm");
			team.putArray("places").add("p" + i % REGIONS);
		}
		return document;
	}

	static Member member(int i) {
		return new Member("entry-" + i, "10.1." + i / 256 + "." + i % 256 + ":7000", "d" + i % 9, 1,
				Member.Status.ALIVE);
	}

}
