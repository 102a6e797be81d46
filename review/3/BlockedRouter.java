import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * Requesters ask for streams of one service and for confirmations of another one. For a
 * few seconds one server of the first service puts bytes that are no events into some of
 * its streams. Counts the confirmations that are unanswered at the route's timeout, and
 * those of them that are unanswered half a second later.
 */
public final class BlockedRouter {

	private static final String KEY = "key-of-the-desk";

	private static final int STREAM_REQUESTERS = 30;

	private static final int CONFIRM_REQUESTERS = 20;

	private static final long CONFIRM_PAUSE_MS = 200;

	private static final long STREAM_PAUSE_MS = 100;

	private static final int EVENTS = 20;

	private static final long EVENT_MS = 10;

	/** The length of an event, and of a piece of wrong bytes; 65 in the site file. */
	private static final int PIECE_BYTES = 65;

	/** The length of all wrong bytes in one stream. */
	private static final int WRONG_BYTES = 800_000;

	/** The share of its streams that the faulty server spoils; 0.05 in the site file. */
	private static final double GARBLE_SHARE = 0.05;

	private static final long GARBLE_MS = 5_000;

	private static final long CALM_MS = 3_000;

	private static final long AFTER_MS = 12_000;

	private static final long STREAM_DEADLINE_MS = 20_000;

	private static final long WORK_MS = 15;

	private static final long CONFIRM_TIMEOUT_MS = 800;

	private static final long CONFIRM_DEADLINE_MS = 1_500;

	private final Record record = new Record();

	private final boolean trouble;

	private final Set<String> ran = ConcurrentHashMap.newKeySet();

	private final AtomicInteger spoiled = new AtomicInteger();

	private final AtomicInteger wholeStreams = new AtomicInteger();

	private final List<Outcome> outcomes = new ArrayList<>();

	private volatile boolean faulty;

	private volatile boolean over;

	private BlockedRouter(boolean trouble) {
		this.trouble = trouble;
	}

	public static void main(String[] args) throws Exception {
		BlockedRouter test = new BlockedRouter(!"0".equals(System.getenv("TROUBLE")));
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
			for (int i = 1; i <= 3; i++) {
				boolean spoils = i == 1;
				servers.add(new Server(store, "draft-" + i, "drafts", "a", 134, 0, (exchange) -> stream(exchange, spoils)));
				servers.add(new Server(store, "confirm-" + i, "confirm", "a", 6, 0, this::confirm));
			}
			Map<String, Object> drafts = Config.route("/drafts/", "streaming", STREAM_DEADLINE_MS, 2, "drafts");
			drafts.put("resumable", true);
			drafts.put("gap-target-ms", 250L);
			store.put("config", "main",
					Config.version(7,
							List.of(drafts,
									Config.route("/confirm/", "non_idempotent", CONFIRM_TIMEOUT_MS, 1, "confirm")),
							List.of(Config.service("drafts"), Config.service("confirm")),
							List.of(Config.tenant("office", KEY))));
			Fleet.Router router = fleet.start("edge-a-1", "a");
			this.record.add("%s ready", router.name());
			// In touch: running and without any disturbance for contact-ms.
			Thread.sleep(3_500);
			List<Thread> requesters = new ArrayList<>();
			for (int i = 0; i < STREAM_REQUESTERS; i++) {
				int number = i;
				requesters.add(Thread.startVirtualThread(() -> streams(router, number)));
			}
			for (int i = 0; i < CONFIRM_REQUESTERS; i++) {
				int number = i;
				requesters.add(Thread.startVirtualThread(() -> confirmations(router, number)));
			}
			Thread.sleep(CALM_MS);
			this.faulty = this.trouble;
			this.record.add("draft-1 %s", this.trouble ? "spoils some of its streams" : "stays sound");
			Thread.sleep(GARBLE_MS);
			this.faulty = false;
			this.record.add("draft-1 is sound");
			Thread.sleep(AFTER_MS);
			this.over = true;
			for (Thread requester : requesters) {
				requester.join();
			}
			this.record.add("the router's process is alive: %s", router.process().isAlive());
		}
		finally {
			for (Server server : servers) {
				server.close();
			}
		}
		return judge();
	}

	private void stream(Server.Exchange exchange, boolean spoils) throws IOException, InterruptedException {
		exchange.readBody();
		String attempt = exchange.attempt();
		String last = exchange.head().header(Wire.LAST_EVENT_ID);
		int first = (last != null) ? Integer.parseInt(last) + 1 : 1;
		OutputStream out = new BufferedOutputStream(exchange.out(), 65_536);
		out.write(("HTTP/1.1 200 OK\r\n" + Wire.ATTEMPT_ID + ": " + attempt + "\r\n" + Wire.SERVER_STAMP + ": stamp-"
				+ exchange.server().id() + "-" + attempt
				+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		if (spoils && this.faulty && ThreadLocalRandom.current().nextDouble() < GARBLE_SHARE) {
			this.spoiled.incrementAndGet();
			this.record.add("%s sends %d wrong bytes in its stream for %s", exchange.server().id(), WRONG_BYTES, attempt);
			byte[] wrong = chunk("x".repeat(PIECE_BYTES - 1) + "\n");
			for (int sent = 0; sent < WRONG_BYTES; sent += PIECE_BYTES) {
				out.write(wrong);
			}
			out.write(chunk(""));
			out.flush();
			return;
		}
		for (int event = first; event <= EVENTS; event++) {
			String head = "id: " + event + "\ndata: ";
			out.write(chunk(head + "x".repeat(PIECE_BYTES - head.length() - 2) + "\n\n"));
			out.flush();
			Thread.sleep(EVENT_MS);
		}
		out.write(chunk(""));
		out.flush();
	}

	private static byte[] chunk(String data) {
		return (Integer.toHexString(data.length()) + "\r\n" + data + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
	}

	private void confirm(Server.Exchange exchange) throws IOException, InterruptedException {
		exchange.readBody();
		this.ran.add(exchange.attempt());
		Thread.sleep(WORK_MS);
		exchange.succeed("confirmed " + exchange.attempt());
	}

	private void streams(Fleet.Router router, int number) {
		for (int round = 1; !this.over; round++) {
			String attempt = "draft-" + number + "-" + round;
			long sentNs = System.nanoTime();
			try (Socket socket = new Socket("127.0.0.1", router.callers())) {
				socket.setSoTimeout((int) STREAM_DEADLINE_MS);
				send(socket, "/drafts/", attempt, STREAM_DEADLINE_MS);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				Http.Head head = Http.readHead(in);
				int bytes = Http.readBody(in, head, true).length;
				boolean whole = head.status() == 200 && bytes == EVENTS * PIECE_BYTES;
				this.wholeStreams.addAndGet(whole ? 1 : 0);
				if (!whole) {
					this.record.add("%s got %d, %d bytes after %d ms", attempt, head.status(), bytes, sinceMs(sentNs));
				}
				Thread.sleep(STREAM_PAUSE_MS);
			}
			catch (IOException | InterruptedException | RuntimeException ex) {
				this.record.add("%s: %s after %d ms", attempt, ex, sinceMs(sentNs));
			}
		}
	}

	private void confirmations(Fleet.Router router, int number) {
		for (int round = 1; !this.over;) {
			try (Socket socket = new Socket("127.0.0.1", router.callers())) {
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				boolean kept = true;
				for (; kept && !this.over; round++) {
					kept = confirmation(socket, in, "confirm-" + number + "-" + round);
					Thread.sleep(CONFIRM_PAUSE_MS);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.record.add("requester %d: %s", number, ex);
			}
		}
	}

	/** Returns whether the channel may be used again. */
	private boolean confirmation(Socket socket, InputStream in, String attempt) throws IOException {
		long sentNs = System.nanoTime();
		send(socket, "/confirm/", attempt, CONFIRM_DEADLINE_MS);
		socket.setSoTimeout((int) CONFIRM_DEADLINE_MS);
		Http.Head head = null;
		try {
			head = Http.readHead(in);
			if (head == null) {
				throw new IOException("the channel was closed without an answer to " + attempt);
			}
			Http.readBody(in, head, true);
		}
		catch (SocketTimeoutException ex) {
			head = null;
		}
		long tookMs = sinceMs(sentNs);
		if (head == null) {
			this.record.add("%s UNANSWERED after %d ms, %s", attempt, tookMs,
					this.ran.contains(attempt) ? "a server ran it" : "no server ran it");
		}
		else {
			this.record.add("%s got %d after %d ms", attempt, head.status(), tookMs);
		}
		synchronized (this.outcomes) {
			this.outcomes.add(new Outcome((head != null) ? head.status() : 0, (head != null) ? tookMs : Long.MAX_VALUE));
		}
		return head != null && !head.closes();
	}

	private static long sinceMs(long startNs) {
		return (System.nanoTime() - startNs) / 1_000_000;
	}

	private static void send(Socket socket, String path, String attempt, long deadlineMs) throws IOException {
		socket.getOutputStream()
			.write(("POST " + path + attempt + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\n" + Wire.ATTEMPT_ID + ": "
					+ attempt + "\r\n" + Wire.DEADLINE_MS + ": " + deadlineMs + "\r\nAuthorization: Token " + KEY
					+ "\r\nContent-Length: 5\r\n\r\nhello")
				.getBytes(StandardCharsets.US_ASCII));
	}

	private int judge() {
		int served = 0;
		int late = 0;
		int never = 0;
		for (Outcome outcome : this.outcomes) {
			served += (outcome.status == 200) ? 1 : 0;
			late += (outcome.tookMs >= CONFIRM_TIMEOUT_MS) ? 1 : 0;
			never += (outcome.tookMs >= CONFIRM_TIMEOUT_MS + 500) ? 1 : 0;
		}
		this.record.add(
				"%d confirmations, %d served; %d unanswered at the timeout of %d ms, %d of these half a second later; "
						+ "%d whole streams, %d spoiled ones",
				this.outcomes.size(), served, late, CONFIRM_TIMEOUT_MS, never, this.wholeStreams.get(),
				this.spoiled.get());
		if (served < 200) {
			return 2;
		}
		return (late > 0 && 2 * never > late) ? 1 : 0;
	}

	private record Outcome(int status, long tookMs) {
	}

}
