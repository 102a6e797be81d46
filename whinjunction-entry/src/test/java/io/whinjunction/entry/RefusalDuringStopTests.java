package io.whinjunction.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that callers of a stopping entry receive its last refusals.
 */
class RefusalDuringStopTests {

	// Guards against a lost refusal: a caller still sends its body when the notice ends,
	// and nothing else is in progress. If the entry closes everything right after it
	// wrote the refusal, the rest of the body resets the connection and the caller sees
	// the reset instead.
	@Test
	void aRefusalIsDeliveredWhenNothingElseIsInProgress() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(500, 5000).entries(1).configure();
				Socket socket = new Socket(InetAddress.getLoopbackAddress(), system.entry(0).callerPort())) {
			socket.setSoTimeout(20_000);
			send(socket, "POST /services/booking-api/bookings HTTP/1.1\r\nhost: x\r\n"
					+ "authorization: Bearer key-1\r\ncontent-length: 10000\r\n\r\n");
			CompletableFuture.runAsync(() -> stop(system));
			for (int i = 0; i < 40; i++) {
				send(socket, "x".repeat(100));
				Thread.sleep(20);
			}
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
				.startsWith("HTTP/1.1 503")
				.contains("not-run");
		}
	}

	// Guards against a second response to one request: a request with "expect:
	// 100-continue" is refused since its body is too large, and its connection stays
	// open. When the entry stopped it wrote another response, which a client takes as the
	// one to its next request.
	@Test
	void aRequestRefusedBeforeItsBodyIsNotRefusedAgain() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(500, 1000).entries(1).configure();
				Socket socket = new Socket(InetAddress.getLoopbackAddress(), system.entry(0).callerPort())) {
			socket.setSoTimeout(20_000);
			send(socket, "POST /services/booking-api/bookings HTTP/1.1\r\nhost: x\r\n"
					+ "authorization: Bearer key-1\r\nexpect: 100-continue\r\n" + "content-length: 100000000\r\n\r\n");
			String begin = new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
			assertThat(begin).isEqualTo("HTTP/1.1 413");
			system.entry(0).stop();
			String all = begin + new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertThat(all.split("HTTP/1.1", -1)).as("answers in %s", all).hasSize(2);
			assertThat(all).contains("not-run");
		}
	}

	// A draft streams, and its caller pipelines a request with "expect: 100-continue".
	// The response to the expectation must not be written into the running one.
	@Test
	void anExpectationOfAPipelinedRequestDoesNotCorruptTheRunningResponse() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(5).entries(1).configure();
				Socket socket = new Socket(InetAddress.getLoopbackAddress(), system.entry(0).callerPort())) {
			socket.setSoTimeout(20_000);
			String body = HttpTestClient.draftBody("hello", 40, true);
			String head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n";
			send(socket, head + "content-length: " + body.length() + "\r\n\r\n" + body);
			String begin = new String(socket.getInputStream().readNBytes(8), StandardCharsets.ISO_8859_1);
			send(socket, head + "connection: close\r\nexpect: 100-continue\r\ncontent-length: " + body.length()
					+ "\r\n\r\n" + body);
			String all = begin + new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertThat(all.split("\\[DONE]", -1)).as("answers in %s", all).hasSize(3);
		}
	}

	private static void stop(LocalSystem system) {
		try {
			system.entry(0).stop();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

}
