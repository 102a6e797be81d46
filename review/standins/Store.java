package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: objects with revisions, lists, watches and
 * conditional writes. It serves all callers at once and loses nothing. Thread-safe.
 */
public final class Store implements AutoCloseable {

	private static final String PREFIX = Wire.OBJECTS;

	/** How many objects a list returns at most. */
	private static final int PAGE_ITEMS = 500;

	/** How long an answer takes, in milliseconds. */
	private static final long ANSWER_MS = 4;

	private final ServerSocket listener;

	private volatile Observer observer = (kind, after) -> {
	};

	private final TreeMap<String, Map<String, Object>> objects = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private long revision = 1;

	public Store() throws IOException {
		this.listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
		Thread.startVirtualThread(this::accept);
	}

	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/** Sets who is told of each list before it is read. */
	public void onList(Observer observer) {
		this.observer = observer;
	}

	/** Writes an object as the operator or a server does. */
	public synchronized void put(String kind, String name, Object spec) {
		write(kind, name, spec);
	}

	/** Removes an object as the platform does. */
	public synchronized void delete(String kind, String name) {
		Map<String, Object> removed = this.objects.remove(kind + "/" + name);
		if (removed != null) {
			this.revision++;
			this.changes.add(new Change(this.revision, kind, removed, true));
			notifyAll();
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private Map<String, Object> write(String kind, String name, Object spec) {
		String key = kind + "/" + name;
		Map<String, Object> before = this.objects.get(key);
		if (before != null && Json.write(before.get("spec")).equals(Json.write(spec))) {
			return before;
		}
		this.revision++;
		long created = (before != null) ? (Long) Json.object(before.get("metadata")).get("created") : this.revision;
		Map<String, Object> object = Json.of("metadata", Json.of("name", name, "revision", this.revision, "created",
				created, "finalizers", List.of(), "deleting", false), "spec", spec, "status", null);
		this.objects.put(key, object);
		this.changes.add(new Change(this.revision, kind, object, false));
		notifyAll();
		return object;
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				Thread.startVirtualThread(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Closed.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				String body = new String(Http.readBody(in, head, false), StandardCharsets.UTF_8);
				answer(socket.getOutputStream(), head, body);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has left.
		}
	}

	private void answer(OutputStream out, Http.Head head, String body) throws IOException, InterruptedException {
		String target = head.target();
		int question = target.indexOf('?');
		Map<String, String> query = new LinkedHashMap<>();
		if (question >= 0) {
			for (String pair : target.substring(question + 1).split("&")) {
				query.put(pair.split("=", 2)[0], pair.split("=", 2)[1]);
			}
			target = target.substring(0, question);
		}
		String[] path = target.substring(PREFIX.length()).split("/");
		Reply reply = switch (head.method()) {
			case "GET" -> (path.length > 1) ? get(path[0], path[1])
					: (query.containsKey("watch") ? watch(path[0], query) : list(path[0], query));
			case "POST" -> post(path[0], Json.object(Json.parse(body)));
			case "PUT" -> put(path[0], path[1], Json.object(Json.parse(body)));
			case "DELETE" -> remove(path[0], path[1]);
			default -> new Reply(400, Json.of());
		};
		Thread.sleep(ANSWER_MS);
		byte[] bytes = Json.write(reply.body).getBytes(StandardCharsets.UTF_8);
		String lines = "HTTP/1.1 " + reply.status + " X\r\nContent-Type: application/json\r\nContent-Length: "
				+ bytes.length + "\r\n\r\n";
		out.write((lines + new String(bytes, StandardCharsets.ISO_8859_1)).getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private synchronized Reply get(String kind, String name) {
		Map<String, Object> object = this.objects.get(kind + "/" + name);
		return (object != null) ? new Reply(200, object) : new Reply(404, Json.of());
	}

	private synchronized Reply list(String kind, Map<String, String> query) {
		this.observer.listed(kind, query.getOrDefault("after", ""));
		List<Object> items = new ArrayList<>();
		for (Map.Entry<String, Map<String, Object>> entry : this.objects
			.tailMap(kind + "/" + query.getOrDefault("after", ""), false)
			.entrySet()) {
			if (!entry.getKey().startsWith(kind + "/")) {
				break;
			}
			if (items.size() == PAGE_ITEMS) {
				return new Reply(200, Json.of("items", items, "has-more", true, "at", this.revision));
			}
			items.add(entry.getValue());
		}
		return new Reply(200, Json.of("items", items, "has-more", false, "at", this.revision));
	}

	private synchronized Reply watch(String kind, Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("watch"));
		long endNs = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
		while (true) {
			List<Object> events = new ArrayList<>();
			for (Change change : this.changes) {
				if (change.revision > after && change.kind.equals(kind)) {
					events.add(Json.of("deleted", change.deleted, "object", change.object));
				}
			}
			long leftMs = (endNs - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMs <= 0) {
				return new Reply(200, Json.of("events", events, "at", this.revision));
			}
			wait(leftMs);
		}
	}

	private synchronized Reply post(String kind, Map<String, Object> body) {
		String name = (String) Json.object(body.get("metadata")).get("name");
		Map<String, Object> before = this.objects.get(kind + "/" + name);
		return (before != null) ? new Reply(409, before) : new Reply(200, write(kind, name, body.get("spec")));
	}

	private synchronized Reply put(String kind, String name, Map<String, Object> body) {
		Map<String, Object> before = this.objects.get(kind + "/" + name);
		if (before == null) {
			return new Reply(404, Json.of());
		}
		Object expected = Json.object(body.get("metadata")).get("revision");
		if (expected != null && !expected.equals(Json.object(before.get("metadata")).get("revision"))) {
			return new Reply(409, before);
		}
		return new Reply(200, write(kind, name, body.get("spec")));
	}

	private synchronized Reply remove(String kind, String name) {
		Map<String, Object> before = this.objects.get(kind + "/" + name);
		delete(kind, name);
		return (before != null) ? new Reply(200, before) : new Reply(404, Json.of());
	}

	/** Is told of lists. */
	@FunctionalInterface
	public interface Observer {

		void listed(String kind, String after);

	}

	private record Change(long revision, String kind, Map<String, Object> object, boolean deleted) {
	}

	private record Reply(int status, Object body) {
	}

}
