package io.whinjunction.standins;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A caller that sends one small request on a new connection, and again after a refusal or
 * a lost connection, until it has an answer. Stateless.
 */
public final class PersistentCaller {

	private static final int TIMEOUT_MS = 5000;

	private static final long PAUSE_MS = 200;

	private PersistentCaller() {
	}

	/**
	 * Sends a request until it is answered with status 200.
	 * @param port the loopback port
	 * @param request the complete request
	 * @param patienceMs how long it is sent again, in milliseconds; 0 if it is sent once
	 * @return the whole body of the answer, or empty if there was none
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static Optional<String> send(int port, String request, long patienceMs) throws InterruptedException {
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
		do {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MS);
				socket.setSoTimeout(TIMEOUT_MS);
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
				Optional<String> body = readAnswer(new BufferedInputStream(socket.getInputStream()));
				if (body.isPresent()) {
					return body;
				}
			}
			catch (IOException ex) {
				// Sent again below.
			}
			Thread.sleep(PAUSE_MS);
		}
		while (System.nanoTime() < endNs);
		return Optional.empty();
	}

	private static Optional<String> readAnswer(InputStream in) throws IOException {
		boolean success = readLine(in).startsWith("HTTP/1.1 200 ");
		int length = -1;
		for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
			if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
				length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
			}
		}
		if (!success || length < 0) {
			return Optional.empty();
		}
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new IOException("the answer ended after " + body.length + " of " + length + " bytes");
		}
		return Optional.of(new String(body, StandardCharsets.UTF_8));
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int read = in.read(); read != '\n'; read = in.read()) {
			if (read < 0) {
				throw new IOException("the connection ended within the head");
			}
			line.write(read);
		}
		return line.toString(StandardCharsets.ISO_8859_1).trim();
	}

}
