import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: objects with revisions, lists in pages, watches, conditional
 * writes. Keeps its whole history.
 */
final class Store2 implements AutoCloseable {

	private static final String PREFIX = Wire2.PATH + "objects/";

	private static final int PAGE_ITEMS = 500;

	private static final int PAGE_BYTES = 1_000_000;

	private final ServerSocket listener;

	private final TreeMap<String, Stored> objects = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private long revision = 100;

	private record Stored(String name, long revision, String spec) {

		String json() {
			return "{\"metadata\":{\"name\":\"" + this.name + "\",\"revision\":" + this.revision
					+ ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + this.spec
					+ ",\"status\":null}";
		}

	}

	private record Change(long revision, String kind, Stored object, boolean deleted) {
	}

	Store2() throws IOException {
		this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Closed.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http2.Message request = Http2.read(in, false); request != null; request = Http2.read(in, false)) {
				Reply reply = handle(request);
				byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
				out.write(Http2.bytes("HTTP/1.1 " + reply.status() + " Status\r\nContent-Type: application/json\r\n"
						+ "Store-Era: 1\r\nContent-Length: " + body.length + "\r\n\r\n"));
				out.write(body);
				out.flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has gone.
		}
	}

	private record Reply(int status, String body) {
	}

	private Reply handle(Http2.Message request) throws InterruptedException {
		String[] parts = request.target().split("\\?", 2);
		Map<String, String> query = new HashMap<>();
		if (parts.length > 1) {
			for (String pair : parts[1].split("&")) {
				String[] both = pair.split("=", 2);
				query.put(both[0], (both.length > 1) ? URLDecoder.decode(both[1], StandardCharsets.UTF_8) : "");
			}
		}
		if (!parts[0].startsWith(PREFIX)) {
			return new Reply(404, "{}");
		}
		String[] path = parts[0].substring(PREFIX.length()).split("/");
		synchronized (this) {
			return switch (request.method()) {
				case "GET" -> (path.length > 1) ? one(path[0] + "/" + path[1])
						: query.containsKey("watch") ? watch(path[0], query) : list(path[0], query);
				case "POST" -> create(path[0], request.text());
				case "PUT" -> replace(path[0], path[1], request.text());
				case "DELETE" -> remove(path[0], path[1]);
				default -> new Reply(400, "{}");
			};
		}
	}

	private Reply one(String key) {
		Stored stored = this.objects.get(key);
		return (stored != null) ? new Reply(200, stored.json()) : new Reply(404, "{}");
	}

	private Reply list(String kind, Map<String, String> query) {
		StringBuilder items = new StringBuilder();
		int count = 0;
		boolean more = false;
		for (Map.Entry<String, Stored> entry : this.objects.tailMap(kind + "/" + query.getOrDefault("after", ""), false)
			.entrySet()) {
			if (!entry.getKey().startsWith(kind + "/")) {
				break;
			}
			String json = entry.getValue().json();
			if (count > 0 && (count >= PAGE_ITEMS || items.length() + json.length() > PAGE_BYTES)) {
				more = true;
				break;
			}
			items.append((count++ > 0) ? "," : "").append(json);
		}
		return new Reply(200, "{\"items\":[" + items + "],\"has-more\":" + more + ",\"at\":" + this.revision + "}");
	}

	private Reply watch(String kind, Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("watch"));
		if (after > this.revision) {
			return new Reply(410, "{}");
		}
		long untilNs = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
		while (true) {
			StringBuilder events = new StringBuilder();
			for (Change change : this.changes) {
				if (change.revision() > after && change.kind().equals(kind)) {
					events.append(events.isEmpty() ? "" : ",")
						.append("{\"deleted\":" + change.deleted() + ",\"object\":")
						.append(change.object().json())
						.append('}');
				}
			}
			long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMs <= 0) {
				return new Reply(200, "{\"events\":[" + events + "],\"at\":" + this.revision + "}");
			}
			wait(leftMs);
		}
	}

	private Reply create(String kind, String body) {
		String name = Json2.text(Json2.member(Json2.member(body, "metadata"), "name"));
		Stored before = this.objects.get(kind + "/" + name);
		return (before != null) ? new Reply(409, before.json())
				: new Reply(201, put(kind, name, Json2.member(body, "spec")).json());
	}

	private Reply replace(String kind, String name, String body) {
		Stored before = this.objects.get(kind + "/" + name);
		if (before == null) {
			return new Reply(404, "{}");
		}
		String expected = Json2.member(Json2.member(body, "metadata"), "revision");
		if (expected != null && Long.parseLong(expected) != before.revision()) {
			return new Reply(409, before.json());
		}
		return new Reply(200, put(kind, name, Json2.member(body, "spec")).json());
	}

	private Reply remove(String kind, String name) {
		Stored before = this.objects.get(kind + "/" + name);
		delete(kind, name);
		return (before != null) ? new Reply(200, before.json()) : new Reply(404, "{}");
	}

	/** Writes an object, as the operator, a server or another client does. */
	synchronized Stored put(String kind, String name, String spec) {
		Stored before = this.objects.get(kind + "/" + name);
		if (before != null && before.spec().equals(spec)) {
			return before;
		}
		Stored stored = new Stored(name, ++this.revision, spec);
		this.objects.put(kind + "/" + name, stored);
		this.changes.add(new Change(this.revision, kind, stored, false));
		notifyAll();
		return stored;
	}

	synchronized void delete(String kind, String name) {
		Stored before = this.objects.remove(kind + "/" + name);
		if (before != null) {
			this.changes.add(new Change(++this.revision, kind, before, true));
			notifyAll();
		}
	}

	synchronized int bytes(String kind, String name) {
		return this.objects.get(kind + "/" + name).json().length();
	}

}
