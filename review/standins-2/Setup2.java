import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A small deployment: a store with a configuration, servers, and routers. */
final class Setup2 implements AutoCloseable {

	static final String HOST = "calls.example";

	static final String SERVICE = "booking";

	/** All routers together have so long to become ready. */
	private static final long READY_WITHIN_MS = 40_000;

	private static final AtomicInteger NUMBER = new AtomicInteger();

	final Store2 store = new Store2();

	final List<Server2> servers = new ArrayList<>();

	final List<Router2> routers = new ArrayList<>();

	final Path folder = Files.createTempDirectory("review-2-");

	private int version = 7;

	Setup2() throws IOException {
	}

	/** Plays a case, and ends this process with its result. */
	static void play(String file, Play play) {
		int result = 2;
		try (Record2 record = new Record2(Path.of(file))) {
			result = play.run(record, new Setup2());
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	/** A case: returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
	interface Play {

		int run(Record2 record, Setup2 setup) throws Exception;

	}

	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	/** Writes the next version of the configuration. */
	int configure() {
		this.store.put("config", "main", configuration(this.version, "\"api-keys\":[\"key-one\"]"));
		return this.version++;
	}

	/** Returns a configuration as on a small installation, without a language model. */
	static String configuration(int version, String keys) {
		return "{\"version\":" + version + ",\"route-list\":["
				+ "{\"name\":\"r-read\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/read/\",\"kind\":\"idempotent\","
				+ "\"timeout-ms\":800,\"target-latency-ms\":100,\"priority\":2,\"service\":\"" + SERVICE
				+ "\",\"max-attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false},"
				+ "{\"name\":\"r-book\",\"host\":\"" + HOST
				+ "\",\"path-prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout-ms\":800,"
				+ "\"target-latency-ms\":100,\"priority\":2,\"service\":\"" + SERVICE
				+ "\",\"max-attempts\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false}],"
				+ "\"services\":[{\"name\":\"" + SERVICE
				+ "\",\"health-path\":\"/healthz\",\"max-connections\":1000,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
				+ "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"team-one\"," + keys + ",\"priority\":1}]}";
	}

	Server2 addServer(String id, Server2.Handler handler) throws IOException {
		Server2 server = new Server2(id, handler);
		this.servers.add(server);
		this.store.put("servers", id, server.entry(SERVICE, "a", "ready"));
		return server;
	}

	/** Starts routers and waits until all are ready. */
	boolean startRouters(int count) throws IOException, InterruptedException {
		for (int i = 1; i <= count; i++) {
			Router2 router = new Router2(this.folder, i, "a", this.store.address());
			this.routers.add(router);
			router.start();
		}
		long endNs = System.nanoTime() + READY_WITHIN_MS * 1_000_000;
		boolean ready = true;
		for (Router2 router : this.routers) {
			ready &= router.awaitReady((endNs - System.nanoTime()) / 1_000_000);
		}
		return ready;
	}

	static String newId() {
		return String.format("%016x", 0x5a00000000000000L + NUMBER.incrementAndGet());
	}

	/** Returns the head of a request. */
	static String request(String method, String path, String id, long deadlineMs, String more) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + Wire2.ATTEMPT_ID + ": " + id
				+ "\r\n" + Wire2.DEADLINE_MS + ": " + deadlineMs + "\r\nAuthorization: Token key-one\r\n" + more
				+ "\r\n";
	}

	/** A server's answer to a request of any kind: its whole body is read first. */
	static boolean answer(Http2.Message head, InputStream in, OutputStream out, Record2 record, String server)
			throws IOException {
		String length = head.header("Content-Length");
		if (length != null) {
			in.readNBytes(Integer.parseInt(length));
		}
		record.line("run       " + head.header(Wire2.ATTEMPT_ID) + " at " + server);
		byte[] body = Http2.bytes("done by " + server);
		out.write(Http2.bytes(Server2.success(head, "Content-Length: " + body.length + "\r\n")));
		out.write(body);
		out.flush();
		return true;
	}

	@Override
	public void close() throws IOException, InterruptedException {
		for (Router2 router : this.routers) {
			router.close();
		}
		for (Server2 server : this.servers) {
			server.close();
		}
		this.store.close();
		if (System.getenv("KEEP_LOGS") != null) {
			System.out.println("logs: " + this.folder);
			return;
		}
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.folder);
	}

}
