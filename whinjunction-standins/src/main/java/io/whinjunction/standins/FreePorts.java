package io.whinjunction.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports below the ephemeral port range of the system. A port that was
 * bound and closed to test it could otherwise be assigned to an outgoing connection
 * before the caller listens on it. Thread-safe.
 */
public final class FreePorts {

	private static final int FIRST_PORT = 21_000;

	private static final int END_PORT = 32_000;

	private static final AtomicInteger NEXT = new AtomicInteger(
			FIRST_PORT + (int) (ProcessHandle.current().pid() % 7000));

	private FreePorts() {
	}

	/**
	 * Returns the next free port.
	 * @return a port on which nothing listens
	 */
	public static int next() {
		for (int i = FIRST_PORT; i < END_PORT; i++) {
			int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), END_PORT - FIRST_PORT);
			try (ServerSocket socket = new ServerSocket(port, 0, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; try the next one.
			}
		}
		throw new IllegalStateException("no free port from " + FIRST_PORT + " to " + END_PORT);
	}

}
