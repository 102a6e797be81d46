import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The path from one router to one server: passes bytes on in both directions, and can be
 * cut: open channels are reset and new ones refused.
 */
final class Path2 implements AutoCloseable {

	private final int serverPort;

	private final int port;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	/** The ports from which this path connects to its server. */
	private final Set<Integer> ports = ConcurrentHashMap.newKeySet();

	private ServerSocket listener;

	Path2(String serverAddress) throws IOException {
		this.serverPort = Integer.parseInt(serverAddress.split(":")[1]);
		this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		this.port = this.listener.getLocalPort();
		start(this.listener);
	}

	String address() {
		return "127.0.0.1:" + this.port;
	}

	/** Returns whether a channel that the server sees from a port came over this path. */
	boolean passed(int fromPort) {
		return this.ports.contains(fromPort);
	}

	void cut() throws IOException {
		this.listener.close();
		for (Socket socket : this.open) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}
	}

	void heal() throws IOException {
		ServerSocket again = new ServerSocket();
		again.setReuseAddress(true);
		again.bind(new InetSocketAddress("127.0.0.1", this.port), 200);
		this.listener = again;
		start(again);
	}

	@Override
	public void close() throws IOException {
		cut();
	}

	private void start(ServerSocket from) {
		Thread.ofVirtual().start(() -> {
			try {
				while (true) {
					Socket router = from.accept();
					Thread.ofVirtual().start(() -> pass(router));
				}
			}
			catch (IOException ex) {
				// Closed.
			}
		});
	}

	private void pass(Socket router) {
		Socket server = new Socket();
		try {
			this.open.add(router);
			this.open.add(server);
			router.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			server.bind(new InetSocketAddress("127.0.0.1", 0));
			this.ports.add(server.getLocalPort());
			server.connect(new InetSocketAddress("127.0.0.1", this.serverPort));
			Thread back = Thread.ofVirtual().start(() -> copy(server, router));
			copy(router, server);
			back.join();
		}
		catch (IOException | InterruptedException ex) {
			// Ended below.
		}
		finally {
			this.open.remove(router);
			this.open.remove(server);
			close(router);
			close(server);
		}
	}

	private static void copy(Socket from, Socket to) {
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] bytes = new byte[16_384];
			for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
				out.write(bytes, 0, count);
				out.flush();
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			close(from);
			close(to);
		}
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Closed.
		}
	}

}
