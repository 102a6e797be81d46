import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import standins.Config;
import standins.Fleet;
import standins.Http;
import standins.Record;
import standins.Server;
import standins.Store;
import standins.Wire;

/**
 * Requesters send idempotent requests, and for a few seconds some servers send additional
 * bytes after some of their complete answers: the beginning of a second answer. Counts
 * the requesters that get a success although no server answered with one.
 */
public final class TornSecondAnswer {

	private static final String KEY = "key-of-the-desk";

	private static final int SERVERS = 3;

	/** How many of them are faulty; at most a share of 0.6 in the site file. */
	private static final int FAULTY = 1;

	private static final int REQUESTERS = 18;

	private static final long PAUSE_MS = 20;

	private static final long WORK_MS = 15;

	/** The share of requests that a sound server fails; the site file has 0.14. */
	private static final double ERROR_SHARE = 0.14;

	/** The share of its answers that a faulty server spoils; 0.05 in the site file. */
	private static final double GARBLE_SHARE = 0.05;

	private static final long GARBLE_MS = 5_000;

	private static final int GARBLES = 3;

	private static final long CALM_MS = 2_500;

	private static final long TIMEOUT_MS = 800;

	private static final long DEADLINE_MS = 1_500;

	/** The beginning of another answer, as a faulty server sends it after a whole one. */
	private static final String TORN = "HTTP/1.1 200 OK";

	private final Record record = new Record();

	private final boolean trouble;

	private final AtomicInteger torn = new AtomicInteger();

	/** What servers answered, by request. */
	private final Map<String, String> given = new ConcurrentHashMap<>();

	private final List<Outcome> outcomes = new ArrayList<>();

	private volatile boolean faulty;

	private volatile boolean over;

	private TornSecondAnswer(boolean trouble) {
		this.trouble = trouble;
	}

	public static void main(String[] args) throws Exception {
		TornSecondAnswer test = new TornSecondAnswer(!"0".equals(System.getenv("TROUBLE")));
		int result = 2;
		try {
			result = test.run(Path.of(args[0]));
		}
		catch (IOException ex) {
			test.record.add("could not run: %s", ex);
		}
		test.record.add("exit %d", result);
		test.record.write(Path.of(args[1]));
		System.out.println("exit " + result);
		// A failure of this program itself ends with 1.
		System.exit((result == 1) ? 3 : result);
	}

	private int run(Path folder) throws IOException, InterruptedException {
		List<Server> servers = new ArrayList<>();
		try (Store store = new Store(); Fleet fleet = new Fleet(store.address(), folder)) {
			for (int i = 1; i <= SERVERS; i++) {
				boolean spoils = i <= FAULTY;
				servers.add(new Server(store, "i-" + i, "desk", "a", 6, 0, (exchange) -> work(exchange, spoils)));
			}
			store.put("config", "main",
					Config.version(7, List.of(Config.route("/status/", "idempotent", TIMEOUT_MS, 2, "desk")),
							List.of(Config.service("desk")), List.of(Config.tenant("office", KEY))));
			Fleet.Router router = fleet.start("edge-a-1", "a");
			this.record.add("%s ready", router.name());
			// In touch: running and without any disturbance for contact-ms.
			Thread.sleep(3_500);
			List<Thread> requesters = new ArrayList<>();
			for (int i = 0; i < REQUESTERS; i++) {
				int number = i;
				requesters.add(Thread.startVirtualThread(() -> requester(router, number)));
			}
			for (int garble = 1; garble <= GARBLES; garble++) {
				Thread.sleep(CALM_MS);
				this.faulty = this.trouble;
				this.record.add("i-1 %s", this.trouble ? "sends additional bytes after some answers" : "stays sound");
				Thread.sleep(GARBLE_MS);
				this.faulty = false;
				this.record.add("i-1 is sound");
			}
			Thread.sleep(CALM_MS);
			this.over = true;
			for (Thread requester : requesters) {
				requester.join();
			}
		}
		finally {
			for (Server server : servers) {
				server.close();
			}
		}
		return judge();
	}

	private void work(Server.Exchange exchange, boolean spoils) throws IOException, InterruptedException {
		exchange.readBody();
		Thread.sleep(WORK_MS);
		boolean fails = ThreadLocalRandom.current().nextDouble() < ERROR_SHARE;
		boolean tears = spoils && this.faulty && ThreadLocalRandom.current().nextDouble() < GARBLE_SHARE;
		String attempt = exchange.attempt();
		String body = (fails ? "failed " : "done ") + attempt + " at " + exchange.server().id();
		this.given.merge(attempt, (fails ? "500 " : "200 ") + exchange.server().id(), (one, other) -> one + ", " + other);
		String answer = "HTTP/1.1 " + (fails ? "500 Internal Server Error" : "200 OK") + "\r\n" + Wire.ATTEMPT_ID + ": "
				+ attempt + "\r\n" + Wire.SERVER_STAMP + ": stamp-" + exchange.server().id() + "-" + attempt
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
		if (tears) {
			this.torn.incrementAndGet();
			this.record.add("i-1 sends additional bytes after its answer to %s", attempt);
			answer += TORN;
		}
		exchange.out().write(answer.getBytes(StandardCharsets.ISO_8859_1));
		exchange.out().flush();
	}

	private void requester(Fleet.Router router, int number) {
		int round = 0;
		while (!this.over) {
			try (Socket socket = new Socket("127.0.0.1", router.callers())) {
				socket.setTcpNoDelay(true);
				socket.setSoTimeout((int) DEADLINE_MS);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				boolean kept = true;
				while (kept && !this.over) {
					round++;
					kept = ask(socket, in, "ask-" + number + "-" + round);
					Thread.sleep(PAUSE_MS);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.record.add("requester %d: %s", number, ex);
			}
		}
	}

	/** Returns whether the channel may be used again. */
	private boolean ask(Socket socket, InputStream in, String attempt) throws IOException {
		OutputStream out = socket.getOutputStream();
		out.write(("GET /status/" + attempt + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\n" + Wire.ATTEMPT_ID + ": " + attempt
				+ "\r\n" + Wire.DEADLINE_MS + ": " + DEADLINE_MS + "\r\nAuthorization: Token " + KEY + "\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		Http.Head head = Http.readHead(in);
		if (head == null) {
			throw new IOException("the channel was closed without an answer to " + attempt);
		}
		String body = new String(Http.readBody(in, head, true), StandardCharsets.ISO_8859_1);
		String given = this.given.getOrDefault(attempt, "nothing");
		boolean success = head.status() / 100 == 2;
		boolean wrong = success && (!given.contains("200") || !body.startsWith("done " + attempt + " "));
		this.record.add("%s got %d \"%s\"; servers answered %s%s", attempt, head.status(), body, given,
				wrong ? "  A SUCCESS THAT NO SERVER GAVE" : "");
		synchronized (this.outcomes) {
			this.outcomes.add(new Outcome(head.status(), wrong));
		}
		return !head.closes();
	}

	private int judge() {
		int served = 0;
		int failed = 0;
		int wrong = 0;
		for (Outcome outcome : this.outcomes) {
			served += (outcome.status == 200 && !outcome.wrong) ? 1 : 0;
			failed += (outcome.status != 200) ? 1 : 0;
			wrong += outcome.wrong ? 1 : 0;
		}
		this.record.add("%d requests, %d served, %d failed; additional bytes after %d answers; %d successes that no server gave",
				this.outcomes.size(), served, failed, this.torn.get(), wrong);
		if (served < 1_000) {
			return 2;
		}
		return (wrong > 0) ? 1 : 0;
	}

	private record Outcome(int status, boolean wrong) {
	}

}
