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
 * Passes TCP connections on and, on order, goes silent on those that are open while new
 * ones work, or cuts all. The order comes as the first line of a connection:
 * {@code !silence}, {@code !cut} or {@code !heal}. Safe for all threads.
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
	 * @param target where to pass connections on, {@code HOST:PORT}
	 * @return the relay
	 * @throws IOException where the port cannot be bound
	 */
	public static Relay start(int port, String target) throws IOException {
		Relay relay = new Relay(target);
		ServerSocket listener = new ServerSocket(port, 0, InetAddress.getLoopbackAddress());
		Thread.ofPlatform().daemon().start(() -> relay.accept(listener));
		return relay;
	}

	/**
	 * Open connections go silent for good; new ones work.
	 */
	public void silenceOpen() {
		this.open.forEach((pipe) -> pipe.silent = true);
	}

	/**
	 * Breaks open connections and refuses new ones, or stops doing so.
	 * @param cutNow whether to cut
	 */
	public void cut(boolean cutNow) {
		this.cut.set(cutNow);
		if (cutNow) {
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
				order(new String(first, 0, length).strip());
				socket.close();
				return;
			}
			if (length <= 0 || this.cut.get()) {
				socket.close();
				return;
			}
			Pipe pipe = new Pipe(socket, new Socket(this.targetHost, this.targetPort));
			this.open.add(pipe);
			pipe.back.getOutputStream().write(first, 0, length);
			Thread.startVirtualThread(() -> pump(pipe, pipe.back, pipe.front));
			pump(pipe, pipe.front, pipe.back);
		}
		catch (IOException ex) {
			closeQuietly(socket);
		}
	}

	private void order(String order) {
		switch (order) {
			case "!silence" -> silenceOpen();
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
			// One side ended; the other is told below.
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
			// It is gone already.
		}
	}

	private static final class Pipe {

		private final Socket front;

		private final Socket back;

		private volatile boolean silent;

		Pipe(Socket front, Socket back) {
			this.front = front;
			this.back = back;
		}

		void close() {
			closeQuietly(this.front);
			closeQuietly(this.back);
		}

	}

}
