package io.whinjunction.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Forwards TCP connections. On command it drops all further data of the connections that
 * are open, while new ones work, or breaks all connections. A command is sent as the
 * first line of a connection: {@code !silence}, {@code !cut} or {@code !heal}.
 * Thread-safe.
 */
public final class Relay {

	private static final int BUFFER_BYTES = 16 << 10;

	private final String targetHost;

	private final int targetPort;

	private final Set<Pipe> open = ConcurrentHashMap.newKeySet();

	private final AtomicReference<Boolean> cut = new AtomicReference<>(false);

	private Relay(String target) {
		int colon = target.lastIndexOf(':');
		this.targetHost = target.substring(0, colon);
		this.targetPort = Integer.parseInt(target.substring(colon + 1));
	}

	/**
	 * Starts a relay on loopback.
	 * @param port the port to listen on
	 * @param target the address to forward connections to, {@code HOST:PORT}
	 * @return the relay
	 * @throws IOException if the port cannot be bound
	 */
	public static Relay start(int port, String target) throws IOException {
		Relay relay = new Relay(target);
		ServerSocket listener = new ServerSocket(port, 0, InetAddress.getLoopbackAddress());
		Thread.ofPlatform().daemon().start(() -> relay.accept(listener));
		return relay;
	}

	/**
	 * Drops all further data of the connections open now, permanently. They stay open,
	 * and new connections work.
	 */
	public void silenceOpenConnections() {
		this.open.forEach((pipe) -> pipe.silent = true);
	}

	/**
	 * Breaks open connections and closes new ones, or stops doing so.
	 * @param enabled whether to cut connections
	 */
	public void cut(boolean enabled) {
		this.cut.set(enabled);
		if (enabled) {
			this.open.forEach(Pipe::close);
		}
	}

	private void accept(ServerSocket listener) {
		while (true) {
			try {
				Socket socket = listener.accept();
				Thread.startVirtualThread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try {
			byte[] first = new byte[BUFFER_BYTES];
			int length = socket.getInputStream().read(first);
			if (length > 0 && first[0] == '!') {
				runCommand(new String(first, 0, length).strip());
				socket.close();
				return;
			}
			if (length <= 0 || this.cut.get()) {
				socket.close();
				return;
			}
			Pipe pipe = new Pipe(socket, new Socket(this.targetHost, this.targetPort));
			this.open.add(pipe);
			pipe.server.getOutputStream().write(first, 0, length);
			Thread.startVirtualThread(() -> pump(pipe, pipe.server, pipe.client));
			pump(pipe, pipe.client, pipe.server);
		}
		catch (IOException ex) {
			closeQuietly(socket);
		}
	}

	private void runCommand(String command) {
		switch (command) {
			case "!silence" -> silenceOpenConnections();
			case "!cut" -> cut(true);
			default -> cut(false);
		}
	}

	private void pump(Pipe pipe, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int length = in.read(buffer);
			while (length >= 0) {
				if (!pipe.silent) {
					out.write(buffer, 0, length);
					out.flush();
				}
				length = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// One side broke; the other is closed below.
		}
		if (!pipe.silent) {
			pipe.close();
			this.open.remove(pipe);
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is already closed.
		}
	}

	private static final class Pipe {

		private final Socket client;

		private final Socket server;

		private volatile boolean silent;

		Pipe(Socket client, Socket server) {
			this.client = client;
			this.server = server;
		}

		void close() {
			closeQuietly(this.client);
			closeQuietly(this.server);
		}

	}

}
