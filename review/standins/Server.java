package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a server of the platform. It registers itself in the store, serves one
 * request at a time on a channel, checks which server a request expects, and answers each
 * request with its id and a proof. How a request is run is up to its {@link Work}.
 * Thread-safe.
 */
public final class Server implements AutoCloseable {

	private final ServerSocket listener;

	private final String id;

	private final String service;

	private final String zone;

	private final int slots;

	private final Work work;

	private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

	/**
	 * Starts a server and registers it.
	 * @param receiveBytes the size of the receive buffers of its channels; 0 for the
	 * usual one
	 */
	public Server(Store store, String id, String service, String zone, int slots, int receiveBytes, Work work)
			throws IOException {
		this.id = id;
		this.work = work;
		this.listener = new ServerSocket();
		if (receiveBytes > 0) {
			this.listener.setReceiveBufferSize(receiveBytes);
		}
		this.listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
		Thread.startVirtualThread(this::accept);
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		store.put("servers", id, entry("ready", 1));
	}

	/** Returns the entry of this server in the store. */
	public Map<String, Object> entry(String state, long sequence) {
		return Json.of("service", this.service, "address", address(), "zone", this.zone, "version", "v1", "slots",
				(long) this.slots, "state", state, "cold-remaining-ms", 0L, "sequence", sequence);
	}

	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	public String id() {
		return this.id;
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket channel : this.channels) {
			channel.close();
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.channels.add(socket);
				Thread.startVirtualThread(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Closed.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				Exchange exchange = new Exchange(this, socket, in, out, head);
				String expected = head.header(Wire.EXPECT_INSTANCE);
				if (expected != null && !expected.equals(this.id)) {
					Http.readBody(in, head, false);
					exchange.answer(421, Wire.INSTANCE_ID + ": " + this.id + "\r\n", "");
				}
				else {
					this.work.run(exchange);
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has left.
		}
		finally {
			this.channels.remove(socket);
		}
	}

	/** Runs requests. */
	@FunctionalInterface
	public interface Work {

		void run(Exchange exchange) throws IOException, InterruptedException;

	}

	/** One request on a channel. */
	public record Exchange(Server server, Socket socket, InputStream in, OutputStream out, Http.Head head) {

		public String attempt() {
			return this.head.header(Wire.ATTEMPT_ID);
		}

		public byte[] readBody() throws IOException {
			return Http.readBody(this.in, this.head, false);
		}

		/** Answers with success and the proof of this server. */
		public void succeed(String body) throws IOException {
			answer(200, Wire.SERVER_STAMP + ": stamp-" + this.server.id + "-" + attempt() + "\r\n", body);
		}

		public void answer(int status, String headers, String body) throws IOException {
			String id = (attempt() != null) ? Wire.ATTEMPT_ID + ": " + attempt() + "\r\n" : "";
			String lines = "HTTP/1.1 " + status + " X\r\n" + id + headers + "Content-Length: " + body.length()
					+ "\r\n\r\n" + body;
			this.out.write(lines.getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

	}


}
