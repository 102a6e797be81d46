package io.whinjunction.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

import com.sun.management.OperatingSystemMXBean;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.limit.TeamLimits;
import io.whinjunction.membership.Member;
import io.whinjunction.membership.MembershipTable;
import io.whinjunction.peer.PeerNode;
import io.whinjunction.peer.PeerServer;
import io.whinjunction.peer.PeerTransport;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.standins.FreePorts;
import io.whinjunction.time.Closer;
import io.whinjunction.time.Ticker;

/**
 * Runs many members in one process, with the peer protocol of the product on real
 * connections. Measures the time until an accepted configuration is in force on all of
 * them, and the cost of a member.
 */
final class SpreadBench {

	private static final int GOSSIP_MS = 500;

	private static final int TEAMS = 220;

	private static final long TIMEOUT_MS = 60_000;

	private final long steadyMs;

	SpreadBench(long steadyMs) {
		this.steadyMs = steadyMs;
	}

	void run(Report report, int... sizes) {
		for (int size : sizes) {
			measure(report, size);
		}
		report.atMost("spread-in-force." + sizes[sizes.length - 1] + "-members", 8000);
	}

	private void measure(Report report, int size) {
		List<Node> nodes = new ArrayList<>();
		try (Closer closer = new Closer()) {
			List<Integer> ports = new ArrayList<>();
			for (int i = 0; i < size; i++) {
				ports.add(FreePorts.next());
			}
			for (int i = 0; i < size; i++) {
				nodes.add(closer.register(new Node(i, ports)));
			}
			String suffix = "." + size + "-members";
			report.put("spread-join" + suffix, "ms",
					awaitMs(() -> nodes.stream().allMatch((node) -> node.members.alive().size() == size)));
			ThroughputBench.pause(2000);
			measureSteadyState(report, suffix, size);
			nodes.get(0).configuration.offer(new Manifest(1, SlopeBench.document(TEAMS), "n"));
			report.put("spread-in-force" + suffix, "ms", awaitMs(
					() -> nodes.stream().allMatch((node) -> node.configuration.configuration().revision() == 1)));
		}
	}

	private void measureSteadyState(Report report, String suffix, int size) {
		long cpuNsBefore = processCpuNs();
		long bytesBefore = loopbackBytes();
		ThroughputBench.pause(this.steadyMs);
		report.put("gossip-cpu" + suffix, "% of a core each",
				(processCpuNs() - cpuNsBefore) / 1e6 / this.steadyMs / size * 100);
		// Counts both directions, including TCP and IP headers.
		report.put("gossip-traffic" + suffix, "KB/s each",
				(loopbackBytes() - bytesBefore) / 1024.0 / this.steadyMs * 1000 / size);
	}

	private static double awaitMs(BooleanSupplier condition) {
		long startNs = System.nanoTime();
		while (!condition.getAsBoolean() && System.nanoTime() - startNs < TIMEOUT_MS * 1_000_000) {
			ThroughputBench.pause(10);
		}
		return (System.nanoTime() - startNs) / 1e6;
	}

	private static long processCpuNs() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

	private static long loopbackBytes() {
		try {
			for (String line : Files.readAllLines(Path.of("/proc/net/dev"))) {
				if (line.strip().startsWith("lo:")) {
					return Long.parseLong(line.strip().substring(3).strip().split("\\s+")[0]);
				}
			}
			return 0;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static final class Node implements AutoCloseable {

		private final ConfigurationHolder configuration = new ConfigurationHolder();

		private final MembershipTable members;

		private final PeerServer server;

		private final Thread gossipThread;

		Node(int index, List<Integer> ports) {
			Ticker ticker = Ticker.system();
			this.members = new MembershipTable(
					new Member("entry-" + index, "127.0.0.1:" + ports.get(index), "d", 1, Member.Status.ALIVE), 3000);
			PeerTransport transport = new PeerTransport(null, 1000);
			PeerNode node = new PeerNode(new PeerNode.NodeState(this.members, this.configuration, new Freshness(8000),
					new UpstreamTable(), new TeamLimits()), transport, ticker, new Random(index));
			this.server = PeerServer.start(transport, "127.0.0.1", ports.get(index), node);
			List<String> seeds = List.of("127.0.0.1:" + ports.get(0), "127.0.0.1:" + ports.get(1 % ports.size()));
			this.gossipThread = Thread.startVirtualThread(() -> {
				while (!Thread.currentThread().isInterrupted()) {
					node.gossip(seeds);
					ThroughputBench.pause(GOSSIP_MS);
				}
			});
		}

		@Override
		public void close() {
			this.gossipThread.interrupt();
			this.server.close();
		}

	}

}
