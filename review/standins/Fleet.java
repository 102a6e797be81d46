package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Starts routers as separate processes by the command of the deploy file, with settings
 * like those of a small deployment, and ends them. Confined to one thread.
 */
public final class Fleet implements AutoCloseable {

	private static final String SETTINGS = """
			node-name = "%1$s"
			role = "router"
			machine-class = "edge"
			serves = ["edge"]
			ip = "127.0.0.1"
			zone = "%2$s"
			region = "region"
			port-range = [%3$d,%3$d]
			seeds = []
			bootstrap = true
			fault-counted = false
			discovery = "platform"
			entry = "vip"
			heartbeat-ms = 1200
			contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]

			[zones]
			%2$s = "region"

			[listen]
			frontend = "127.0.0.1:%4$d"
			ready = "127.0.0.1:%5$d"

			[limits]
			cpu-share = 0.75
			cores = 1
			memory-mb = 430
			max-fds = 4100
			link-mbps = 1000.0
			disk-mb = 0

			[fault-tolerance]
			machines = 1
			zones = 0
			regions = 0

			[bounds]
			seed-lag-s = 3
			reuse-after-s = 2
			contact-ms = 3000
			ack-ms = 4000
			catch-up-s = 4
			drain-ms = 2000
			grace-s = 8
			loss-slack-ms = 200
			config-apply-ms = 2000
			rollback-slack-ms = 250
			partition-max-ms = 5000
			revoke-strict = true
			revoke-ms = 5000
			retry-budget-ratio = 0.2
			budget-window-s = 10
			retry-budget-slack = 198
			recover-s = 12
			iteration-ms = 120
			retry-after-s = 0
			stall_ms = 2000
			fencing-enabled = true

			[platform]
			address = "%6$s"
			form = "objects"
			writes-per-s = 400
			reads-per-s = 2000
			history-s = 20
			value-bytes = 1048576
			ttl-min-ms = 1000
			""";

	private static final long READY_TIMEOUT_MS = 20_000;

	private final Path folder;

	private final String storeAddress;

	private final List<Router> routers = new ArrayList<>();

	/**
	 * Creates a fleet without routers.
	 * @param storeAddress the address of the platform's store
	 * @param folder a temporary folder for settings and logs
	 */
	public Fleet(String storeAddress, Path folder) {
		this.storeAddress = storeAddress;
		this.folder = folder;
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/** Starts a router and waits until it is ready. */
	public Router start(String name, String zone) throws IOException, InterruptedException {
		int[] ports = freePorts(4);
		Path settings = this.folder.resolve(name + ".toml");
		Files.writeString(settings, SETTINGS.formatted(name, zone, ports[0], ports[1], ports[2], this.storeAddress));
		Router router = new Router(name, ports[1], ports[2], ports[3], settings, this.folder.resolve(name + ".log"),
				new AtomicReference<>());
		this.routers.add(router);
		restart(router);
		awaitReady(router);
		return router;
	}

	/** Starts the process of a router, again after its end. */
	public void restart(Router router) throws IOException {
		ProcessBuilder builder = new ProcessBuilder(command("127.0.0.1:" + router.callers));
		builder.environment().put(Wire.SETTINGS_VARIABLE, router.settings.toString());
		builder.environment().put("WHIN_METRICS_PORT", Integer.toString(router.metricsPort));
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(router.log.toFile()));
		router.running.set(builder.start());
	}

	/** Waits until a router is ready. */
	public void awaitReady(Router router) throws IOException, InterruptedException {
		long endNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
		while (!router.ready()) {
			if (System.nanoTime() > endNs || !router.process().isAlive()) {
				throw new IOException(router.name + " is not ready: " + Files.readString(router.log));
			}
			Thread.sleep(20);
		}
	}

	/** Reads the command of the role from the deploy file. */
	private static List<String> command(String frontend) throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
				return List.of(run.replace("{{listen.frontend}}", frontend).split(" "));
			}
		}
		throw new IOException("the deploy file has no command");
	}

	/** Returns ports that nobody uses now. */
	public static int[] freePorts(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		int[] ports = new int[count];
		for (int i = 0; i < count; i++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
			sockets.add(socket);
			ports[i] = socket.getLocalPort();
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	@Override
	public void close() {
		for (Router router : this.routers) {
			router.process().destroyForcibly();
		}
		for (Router router : this.routers) {
			router.process().onExit().join();
		}
	}

	/** A running router. */
	public record Router(String name, int callers, int readyPort, int metricsPort, Path settings, Path log,
			AtomicReference<Process> running) {

		public Process process() {
			return this.running.get();
		}

		/** Kills the process. */
		public void kill() {
			process().destroyForcibly();
			process().onExit().join();
		}


		/** Returns whether it answers the platform's question with 200. */
		public boolean ready() {
			try (Socket socket = new Socket("127.0.0.1", this.readyPort)) {
				socket.setSoTimeout(1000);
				socket.getOutputStream()
					.write(("GET " + Wire.READY + " HTTP/1.1\r\nHost: ready\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
				Http.Head head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
				return head != null && head.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		/** Sends a signal to the process. */
		public void signal(String signal) throws IOException, InterruptedException {
			new ProcessBuilder("kill", "-" + signal, Long.toString(process().pid())).start().waitFor(5,
					TimeUnit.SECONDS);
		}

	}

}
