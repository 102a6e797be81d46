import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of an application service. Answers at once unless a case says otherwise. */
final class Server2 implements AutoCloseable {

	/** What a case does with a request whose head was read. */
	interface Handler {

		/** Reads the body and answers; false to close the channel. */
		boolean handle(Http2.Message head, InputStream in, OutputStream out) throws IOException, InterruptedException;

	}

	private final String id;

	private final ServerSocket listener;

	private final Handler handler;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	Server2(String id, Handler handler) throws IOException {
		this.id = id;
		this.handler = handler;
		this.listener = new ServerSocket(0, 2000, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	String id() {
		return this.id;
	}

	/** Returns the entry of the server in the store. */
	String entry(String service, String zone, String state) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
				+ "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
				+ "\",\"cold-remaining-ms\":0,\"born\":1764000000123,\"sequence\":1}";
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.open.add(socket);
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
			for (Http2.Message head = Http2.head(in); head != null; head = Http2.head(in)) {
				String expected = head.header(Wire2.EXPECT_INSTANCE);
				if (expected != null && !expected.equals(this.id)) {
					out.write(Http2.bytes("HTTP/1.1 421 Misdirected Request\r\n" + Wire2.INSTANCE_ID + ": " + this.id
							+ "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
					out.flush();
					return;
				}
				if (!this.handler.handle(head, in, out)) {
					return;
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The channel has ended.
		}
		finally {
			this.open.remove(socket);
		}
	}

	/** Returns the head of a success. */
	static String success(Http2.Message request, String framing) {
		String id = request.header(Wire2.ATTEMPT_ID);
		return "HTTP/1.1 200 OK\r\n" + ((id != null) ? Wire2.ATTEMPT_ID + ": " + id + "\r\n" : "")
				+ Wire2.SERVER_STAMP + ": 1." + id + "\r\n" + framing + "\r\n";
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

}
