package io.whinjunction.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out ports on loopback, below those that the system gives to outgoing connections:
 * a port that was only tried and closed may otherwise be taken by one of them before it
 * is listened on. Safe for all threads.
 */
public final class FreePorts {

	private static final int FIRST = 21_000;

	private static final int LAST = 32_000;

	private static final AtomicInteger NEXT = new AtomicInteger(FIRST + (int) (ProcessHandle.current().pid() % 7000));

	private FreePorts() {
	}

	/**
	 * The next free port.
	 * @return a port that nothing listens on
	 */
	public static int next() {
		for (int i = FIRST; i < LAST; i++) {
			int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), LAST - FIRST);
			try (ServerSocket socket = new ServerSocket(port, 0, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// Somebody listens there.
			}
		}
		throw new IllegalStateException("no free port from " + FIRST + " to " + LAST);
	}

}
