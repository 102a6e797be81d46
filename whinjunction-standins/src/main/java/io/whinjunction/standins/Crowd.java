package io.whinjunction.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/**
 * Many connections that send prepared bytes at the same time and stay open afterwards,
 * whatever the server answers.
 * <p>
 * Invariant: each connection sends its bytes once, as fast as the server takes them.
 * Thread-safe.
 */
public final class Crowd implements AutoCloseable {

	private static final int PIECE_BYTES = 16_384;

	/** A crowd whose bytes have not advanced for this long is stuck, in milliseconds. */
	private static final long STUCK_MS = 2000;

	private static final long CHECK_INTERVAL_MS = 50;

	private final Collection<Socket> sockets = new ConcurrentLinkedQueue<>();

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicInteger unfinished = new AtomicInteger();

	private final int port;

	private final boolean takesAnswers;

	private volatile boolean closed;

	private Crowd(int port, boolean takesAnswers) {
		this.port = port;
		this.takesAnswers = takesAnswers;
	}

	/**
	 * Starts a crowd that reads what the server answers and drops it.
	 * @param connections the number of connections
	 * @param port the loopback port of the server
	 * @param bytes returns what the connection of an index sends
	 * @return the crowd, which is sending
	 */
	public static Crowd start(int connections, int port, IntFunction<byte[]> bytes) {
		return new Crowd(port, true).connect(connections, bytes);
	}

	/**
	 * Starts a crowd that reads nothing.
	 * @param connections the number of connections
	 * @param port the loopback port of the server
	 * @param bytes returns what the connection of an index sends
	 * @return the crowd, which is sending
	 */
	public static Crowd startUnreading(int connections, int port, IntFunction<byte[]> bytes) {
		return new Crowd(port, false).connect(connections, bytes);
	}

	private Crowd connect(int connections, IntFunction<byte[]> bytes) {
		this.unfinished.set(connections);
		for (int index = 0; index < connections; index++) {
			byte[] own = bytes.apply(index);
			Thread.startVirtualThread(() -> send(own));
		}
		return this;
	}

	private void send(byte[] bytes) {
		try {
			Socket socket = new Socket();
			this.sockets.add(socket);
			if (!this.takesAnswers) {
				socket.setReceiveBufferSize(PIECE_BYTES);
			}
			socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port));
			if (this.closed) {
				socket.close();
				return;
			}
			if (this.takesAnswers) {
				Thread.startVirtualThread(() -> drop(socket));
			}
			write(socket.getOutputStream(), bytes);
		}
		catch (IOException ex) {
			// The server refuses or closes connections of a crowd as it likes.
		}
		finally {
			this.unfinished.decrementAndGet();
		}
	}

	private void write(OutputStream out, byte[] bytes) throws IOException {
		for (int from = 0; from < bytes.length; from += PIECE_BYTES) {
			int count = Math.min(PIECE_BYTES, bytes.length - from);
			out.write(bytes, from, count);
			this.sentBytes.addAndGet(count);
		}
	}

	private static void drop(Socket socket) {
		byte[] buffer = new byte[PIECE_BYTES];
		try (InputStream in = socket.getInputStream()) {
			while (in.read(buffer) >= 0) {
				// Dropped.
			}
		}
		catch (IOException ex) {
			// The connection ended.
		}
	}

	/**
	 * Waits until the server has read all that the connections send, or reads no more.
	 * @throws InterruptedException if the thread is interrupted
	 * @throws IOException if the kernel's table of connections can't be read
	 */
	public void awaitRead() throws InterruptedException, IOException {
		long unreadBytes = ProcessFigures.unreadBytes(this.port);
		long sent = -1;
		for (long stuckMs = 0; stuckMs < STUCK_MS; stuckMs += CHECK_INTERVAL_MS) {
			long unreadBefore = unreadBytes;
			unreadBytes = ProcessFigures.unreadBytes(this.port);
			if (this.unfinished.get() == 0 && unreadBytes == 0) {
				return;
			}
			if (this.sentBytes.get() != sent || unreadBytes != unreadBefore) {
				stuckMs = 0;
			}
			sent = this.sentBytes.get();
			Thread.sleep(CHECK_INTERVAL_MS);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		List<Socket> all = new ArrayList<>(this.sockets);
		for (Socket socket : all) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
		}
	}

}
