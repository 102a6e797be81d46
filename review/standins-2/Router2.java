import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A router process, started with the command of the deploy file in the current folder and
 * with settings as on a small deployment.
 */
final class Router2 implements AutoCloseable {

	private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

	private final String name;

	private final String ip;

	private final int callers;

	private final int ready;

	private final Path log;

	private final Path settings;

	private final String command;

	private final int metrics;

	private Process process;

	Router2(Path folder, int number, String zone, String storeAddress) throws IOException {
		this.name = "edge-" + number;
		this.ip = "127.0.1." + number;
		int[] ports = freePorts(this.ip, 4);
		this.callers = ports[0];
		this.ready = ports[1];
		this.metrics = ports[3];
		this.log = folder.resolve(this.name + ".log");
		this.settings = folder.resolve(this.name + ".toml");
		Files.writeString(this.settings, String.join("\n", "node-name = \"" + this.name + "\"", "role = \"router\"",
				"machine-class = \"edge\"", "serves = [\"edge\"]", "ip = \"" + this.ip + "\"",
				"zone = \"" + zone + "\"", "region = \"r\"", "port-range = [" + ports[2] + "," + (ports[2] + 15) + "]",
				"seeds = []", "bootstrap = true", "fault-counted = false", "discovery = \"platform\"",
				"entry = \"vip\"", "heartbeat-ms = 1200", "[listen]",
				"frontend = \"" + this.ip + ":" + this.callers + "\"",
				"ready = \"" + this.ip + ":" + this.ready + "\"", "[limits]", "cpu-share = 0.75", "cores = 1",
				"memory-mb = 430", "max-fds = 4100", "link-mbps = 1000.0", "disk-mb = 0", "[bounds]", "seed-lag-s = 3",
				"reuse-after-s = 2", "contact-ms = 3000", "ack-ms = 4000", "catch-up-s = 4", "drain-ms = 2000",
				"grace-s = 8", "loss-slack-ms = 200", "config-apply-ms = 2000", "rollback-slack-ms = 250",
				"partition-max-ms = 5000", "revoke-strict = true", "revoke-ms = 5000", "retry-budget-ratio = 0.2",
				"budget-window-s = 10", "retry-budget-slack = 198", "recover-s = 12", "iteration-ms = 120",
				"retry-after-s = 0", "stall_ms = 2000", "fencing-enabled = true", "[platform]",
				"address = \"" + storeAddress + "\"", "form = \"objects\"", "writes-per-s = 400",
				"reads-per-s = 2000", "history-s = 20", "value-bytes = 1048576", "ttl-min-ms = 1000", ""));
		Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml names no command");
		}
		this.command = run.group(1).replace("{{listen.frontend}}", this.ip + ":" + this.callers);
	}

	private static int[] freePorts(String ip, int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		int[] ports = new int[count];
		try {
			for (int i = 0; i < count; i++) {
				ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
				sockets.add(socket);
				ports[i] = socket.getLocalPort();
			}
		}
		finally {
			for (ServerSocket socket : sockets) {
				socket.close();
			}
		}
		return ports;
	}

	String name() {
		return this.name;
	}

	String ip() {
		return this.ip;
	}

	int callers() {
		return this.callers;
	}

	int readyPort() {
		return this.ready;
	}

	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command.split(" "));
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.redirectInput(new File("/dev/null"));
		builder.environment().put(Wire2.SETTINGS, this.settings.toString());
		builder.environment().put("WHIN_METRICS_PORT", Integer.toString(this.metrics));
		Process started = builder.start();
		this.process = started;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	long pid() {
		return this.process.pid();
	}

	/** Sends a signal, such as STOP, CONT, TERM or KILL. */
	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	/** Returns whether the process says that it is ready. */
	boolean ready() {
		try (Client2 client = new Client2(this.ip, this.ready, 1000)) {
			client.send("GET " + Wire2.PATH + "readyz HTTP/1.1\r\nHost: ready\r\n\r\n", new byte[0]);
			return client.answer().status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean awaitReady(long ms) throws InterruptedException {
		long endNs = System.nanoTime() + ms * 1_000_000;
		while (System.nanoTime() < endNs) {
			if (ready()) {
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	/** Returns the last lines of the log that contain a text. */
	List<String> logLines(String text) throws IOException {
		return Files.readAllLines(this.log, java.nio.charset.StandardCharsets.ISO_8859_1)
			.stream()
			.filter((line) -> line.contains(text))
			.toList();
	}

	@Override
	public void close() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
		}
	}

}
