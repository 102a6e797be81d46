package io.whinjunction.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link HttpCaller}.
 */
class HttpCallerTests {

	private static final long MAX_BODY_BYTES = 1024;

	private final AtomicInteger requests = new AtomicInteger();

	private final HttpCaller caller = new HttpCaller(1000, 10_000);

	private ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
		this.caller.close();
	}

	// Guards against repeated actions: the upstream reads the call, acts on it and
	// crashes before it responds. By default the library would resend the call up to five
	// times, and a client would be billed for each.
	@Test
	void aCallWhoseConnectionBreaksIsNotWrittenAgain() {
		serve((socket) -> {
		});
		CallResult result = this.caller.call(call(2000, true));
		assertThat(result).isInstanceOfSatisfying(CallResult.Lost.class, (lost) -> assertThat(lost.silent()).isFalse());
		assertThat(this.requests).hasValue(1);
	}

	// Guards against an action that runs twice: on a machine short of CPU a call timed
	// out before it had connected, was reported as not sent and made again to another
	// upstream, and the library wrote it after all. A call reported as not sent must no
	// longer be written.
	@Test
	void aCallReportedAsNotSentIsNeverWritten() {
		LibraryCalls.Observer observer = new LibraryCalls.Observer(MAX_BODY_BYTES, (result) -> {
		});

		assertThat(observer.lost("no answer in 200 ms", true)).isInstanceOf(CallResult.NotSent.class);
		assertThatThrownBy(() -> observer.onRequestSend(null)).isInstanceOf(IllegalStateException.class);
		assertThat(observer.lost("aborted", false)).isInstanceOf(CallResult.NotSent.class);
	}

	@Test
	void aWrittenCallIsNotReportedAsNotSent() {
		LibraryCalls.Observer observer = new LibraryCalls.Observer(MAX_BODY_BYTES, (result) -> {
		});

		observer.onRequestSend(null);

		assertThat(observer.lost("no answer in 200 ms", true)).isInstanceOf(CallResult.Lost.class);
	}

	// The same with the library itself: the connection has not been accepted when the
	// call is abandoned, and nothing may arrive once it is.
	@Test
	void theLibraryDropsACallAbandonedBeforeItWasWritten() throws Exception {
		serve((socket) -> sleep(100));
		try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
			LibraryCalls.Observer observer = new LibraryCalls.Observer(MAX_BODY_BYTES, (result) -> {
			});
			observer.lost("abandoned", true);

			ListenableFuture<Response> future = LibraryCalls
				.request(client, call(2000, true), 0, Duration.ofMillis(2000))
				.execute(observer);

			assertThat(future.toCompletableFuture()).failsWithin(Duration.ofSeconds(5));
			sleep(300);
			assertThat(this.requests).hasValue(0);
		}
	}

	// Guards against an answer without end that fills the memory until the call times
	// out.
	@Test
	void anAnswerWithoutEndIsCutOff() {
		serve((socket) -> {
			try {
				socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				byte[] piece = new byte[65_536];
				while (true) {
					socket.getOutputStream().write(piece);
				}
			}
			catch (IOException ex) {
				// The caller closed the connection.
			}
		});

		CallResult result = this.caller.call(call(5000, true));

		assertThat(result).isInstanceOfSatisfying(CallResult.Lost.class,
				(lost) -> assertThat(lost.reason()).contains("more than"));
	}

	@Test
	void aCallWithoutAnswerTimesOutAndIsNotWrittenAgain() {
		serve((socket) -> sleep(5000));
		// Long enough for a machine short of CPU to connect and write first; a call
		// abandoned before that is covered by another test.
		CallResult result = this.caller.call(call(1500, true));
		assertThat(result).isInstanceOfSatisfying(CallResult.Lost.class, (lost) -> assertThat(lost.silent()).isTrue());
		// On a busy machine the call may time out before the upstream's thread has run.
		awaitFirstRequest();
		assertThat(this.requests).hasValue(1);
	}

	@Test
	void aRedirectIsReturnedAndNotFollowed() {
		serve((socket) -> answer(socket, "HTTP/1.1 307 Go\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n"));
		assertThat(this.caller.call(call(2000, true))).isInstanceOfSatisfying(CallResult.Response.class,
				(response) -> assertThat(response.status()).isEqualTo(307));
		assertThat(this.requests).hasValue(1);
	}

	@Test
	void aCallOnARefusedConnectionIsNotSent() throws IOException {
		this.server.close();
		assertThat(this.caller.call(call(2000, true))).isInstanceOf(CallResult.NotSent.class);
	}

	// Guards against a path from a caller that is not a valid URL: an exception would
	// leave behind the claim of an action that nothing can release.
	@Test
	void aCallWithAnInvalidPathIsNotSent() {
		serve((socket) -> answer(socket, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
		Call bad = new Call("GET", "127.0.0.1:" + this.server.getLocalPort(), "/%zz{|\\^", List.of(),
				new byte[] { 1, 2, 3 }, 1000, true);
		assertThat(this.caller.call(bad)).isInstanceOfAny(CallResult.NotSent.class, CallResult.Response.class);
	}

	// A pooled connection is dead without notice while new ones work. A call that may not
	// be repeated must not be written to it, or its outcome would be unknown needlessly.
	@Test
	void aCallThatMayNotBeRepeatedTakesANewConnection() {
		AtomicInteger connections = new AtomicInteger();
		serve((socket) -> {
			if (connections.incrementAndGet() == 1) {
				answer(socket, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
				// From here on the connection stays open but nothing is sent on it.
				sleep(5000);
			}
			answer(socket, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
		});
		assertThat(this.caller.call(call(2000, false))).isInstanceOf(CallResult.Response.class);
		assertThat(this.caller.call(call(2000, true))).isInstanceOf(CallResult.Response.class);
		assertThat(connections).hasValue(2);
	}

	// Guards against an order or a write that counts as done although it was rejected:
	// the beginning of another answer was read as that of the next one.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 ", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-Field: ",
			"HTTP/1.1 200 OK\r\nX-Field: value\r\n ", "HTTP/1.1 100 Continue\r\nX-Field: " })
	void theBeginningOfASurplusAnswerIsNotThatOfTheNextOne(String beginning) {
		AtomicInteger connections = new AtomicInteger();
		serve((socket) -> {
			int number = connections.incrementAndGet();
			answer(socket, (number > 1) ? "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n"
					: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" + beginning);
			if (number == 1) {
				readCall(socket);
				answer(socket, "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n");
				sleep(1000);
			}
		});

		assertThat(statusOf(this.caller.call(call(2000, false)))).isEqualTo(200);
		sleep(50);
		assertThat(statusOf(this.caller.call(call(2000, false)))).isNotEqualTo(200);
	}

	// Guards against the same where the beginning arrives after the call was written.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 ", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-Field: ",
			"HTTP/1.1 200 OK\r\nX-Field: value\r\n ", "HTTP/1.1 100 Continue\r\nX-Field: " })
	void theBeginningOfALateAnswerIsNotThatOfTheNextOne(String beginning) {
		serve((socket) -> {
			answer(socket, beginning + "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n");
			sleep(1000);
		});

		assertThat(statusOf(this.caller.call(call(2000, false)))).isNotEqualTo(200);
	}

	// Guards against a call that counts as done, as absent or as not run by an answer
	// that
	// is none.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK",
			"HTTP/1.1  200 OK", "HTTP/1.1 200 OK\r\nX Note: a", "HTTP/1.1 404 Not Found\r\nX-Note : a",
			"HTTP/1.1 503 Busy\r\nX\u0001Note: a", "HTTP/1.1 102 Processing\r\nX Note: a\r\n\r\nHTTP/1.1 200 OK" })
	void anAnswerWhoseHeadBreaksTheGrammarIsLost(String head) {
		serve((socket) -> answer(socket, head + "\r\ncontent-length: 2\r\n\r\nok"));

		assertThat(this.caller.call(call(2000, false))).isInstanceOf(CallResult.Lost.class);
	}

	// Guards against an answer without a body whose end is not found.
	@Test
	void theAnswerToAHeadRequestHasNoBody() {
		serve((socket) -> {
			answer(socket, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n");
			sleep(1000);
		});
		Call get = call(500, false);

		CallResult result = this.caller.call(
				new Call("HEAD", get.address(), get.pathAndQuery(), get.headers(), get.body(), get.timeoutMs(), false));

		assertThat(result).isInstanceOf(CallResult.Response.class);
	}

	private static int statusOf(CallResult result) {
		return (result instanceof CallResult.Response response) ? response.status() : -1;
	}

	// A middlebox drops the state of all open connections; new ones work. Each pooled one
	// would cost a full timeout, one after the other. After the first timeout the other
	// pooled ones must not be tried.
	@Test
	void afterATimeoutNoOtherPooledConnectionToThatAddressIsTried() {
		CountDownLatch bothOpen = new CountDownLatch(2);
		AtomicInteger connections = new AtomicInteger();
		serve((socket) -> {
			boolean kept = connections.incrementAndGet() <= 2;
			if (kept) {
				bothOpen.countDown();
				awaitQuietly(bothOpen);
			}
			answer(socket, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
			if (kept) {
				sleep(5000);
			}
		});
		CompletableFuture<CallResult> other = CompletableFuture.supplyAsync(() -> this.caller.call(call(2000, false)));
		assertThat(this.caller.call(call(2000, false))).isInstanceOf(CallResult.Response.class);
		assertThat(other.join()).isInstanceOf(CallResult.Response.class);
		assertThat(this.caller.call(call(200, false))).isInstanceOf(CallResult.Lost.class);
		assertThat(this.caller.call(call(2000, false))).isInstanceOf(CallResult.Response.class);
	}

	private void awaitFirstRequest() {
		for (int waited = 0; waited < 100 && this.requests.get() == 0; waited++) {
			sleep(50);
		}
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Call call(long timeoutMs, boolean fresh) {
		return new Call("POST", "127.0.0.1:" + this.server.getLocalPort(), "/x", List.of(), new byte[] { 1, 2, 3 },
				timeoutMs, fresh);
	}

	private void serve(Consumer<Socket> answer) {
		Thread.startVirtualThread(() -> {
			while (!this.server.isClosed()) {
				try {
					Socket socket = this.server.accept();
					Thread.startVirtualThread(() -> serveOne(socket, answer));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
	}

	private void serveOne(Socket socket, Consumer<Socket> answer) {
		try (socket) {
			if (readCall(socket)) {
				this.requests.incrementAndGet();
				answer.accept(socket);
			}
		}
		catch (IOException | UncheckedIOException ex) {
			// The test has ended, or the caller closed the connection.
		}
	}

	// Returns false if the connection ended before a call was complete.
	private static boolean readCall(Socket socket) {
		byte[] buffer = new byte[4096];
		int length = 0;
		try {
			while (length < 3 || !endsWithBody(buffer, length)) {
				int read = socket.getInputStream().read(buffer, length, buffer.length - length);
				if (read < 0) {
					return false;
				}
				length += read;
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return true;
	}

	private static boolean endsWithBody(byte[] buffer, int length) {
		return buffer[length - 3] == 1 && buffer[length - 2] == 2 && buffer[length - 1] == 3;
	}

	private static void answer(Socket socket, String text) {
		try {
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void sleep(long durationMs) {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
