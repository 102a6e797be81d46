package io.whinjunction.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.handler.codec.http2.Http2Error;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.http.server.Reply;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.standins.ReferenceModel;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what callers with kept connections receive while an entry stops.
 */
class StoppingEntryTests {

	private static final EntrySettings.Limits ONE_DRAFT = new EntrySettings.Limits(1, 8, 64, 64 << 10, 8 << 10, 10_000,
			4096);

	private static final int LARGE_BYTES = 16 << 20;

	// A caller pipelines two bookings on its connection while the entry still serves. The
	// first response announces that the connection closes. The second booking must not
	// run then, since its response could no longer reach the caller.
	@Test
	void aResponseDuringTheNoticeClosesItsConnectionAndNoPipelinedRequestRuns() {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(3000, 1000).entries(1).configure()) {
			CompletableFuture<Integer> cutOff = stop(system);
			String answers = HttpTestClient.raw(system.entry(0).callerPort(), booking("first") + booking("second"));
			assertThat(answers).startsWith("HTTP/1.1 201").contains("connection: close").contains("first");
			// All requests that had started have completed by then.
			assertThat(cutOff.join()).isZero();
			assertThat(system.booking().runs("second")).isZero();
		}
	}

	// The same over HTTP/2: the caller receives a GOAWAY frame, and the streams that it
	// already has are answered.
	@Test
	void anHttp2CallerReceivesGoAway() throws InterruptedException {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(10_000, 1000).entries(1).configure();
				Http2TestClient client = Http2TestClient.connect(system.entry(0).callerPort())) {
			assertThat(client.draft("key-1", "before", 1).await()).endsWith("data: [DONE]\n\n");
			assertThat(client.goAway()).isNotDone();
			stop(system);
			assertThat(client.draft("key-1", "after", 3).await()).endsWith("data: [DONE]\n\n");
			assertThat(client.goAway().orTimeout(5, TimeUnit.SECONDS).join()).isEqualTo(Http2Error.NO_ERROR);
		}
	}

	// A draft streams, its caller pipelines the next request, and the entry now refuses.
	// The refusal must wait for the running response: written into the stream, it would
	// corrupt that response and close its connection. The steps are held meanwhile so
	// that the response cannot end too soon.
	@Test
	@Tag("known-red")
	void aRefusalWaitsForTheResponseBeforeIt() throws IOException {
		try (LocalSystem system = new LocalSystem().engines(5).entries(1).configure();
				Socket socket = connect(system.entry(0).callerPort())) {
			send(socket, draft("hello", 40));
			String begin = new String(socket.getInputStream().readNBytes(8), StandardCharsets.ISO_8859_1);
			Runnable release = system.holdSteps();
			stop(system);
			LocalSystem.await(() -> refuses(system));
			send(socket, draft("next", 1));
			release.run();
			String answers = begin + readAll(socket);
			int refusal = answers.indexOf("HTTP/1.1 503");
			assertThat(refusal).as("the position of the refusal in %s", answers).isPositive();
			assertThat(HttpTestClient.tokens(answers.substring(0, refusal)))
				.isEqualTo(ReferenceModel.draft("hello", LocalSystem.LAYERS, 40));
			assertThat(answers.substring(0, refusal)).contains("data: [DONE]");
			assertThat(answers.substring(refusal)).contains("not-run").contains("stopping");
		}
	}

	// A request body is still being sent when the entry begins to refuse. Its sender must
	// learn that the request did not run, which a closed connection would not show.
	@Test
	void aRequestThatStillArrivesIsRefusedAndNotDropped() throws IOException {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(500, 1000).entries(1).configure();
				Socket socket = connect(system.entry(0).callerPort())) {
			String request = booking("arriving");
			send(socket, request.substring(0, request.length() - 3));
			stop(system);
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503").contains("not-run").contains("stopping");
		}
	}

	// The handler has finished, but most of the response is still to be sent to a slow
	// reader. An entry that exits then cuts off a response that it has counted as sent.
	@Test
	void aStopWaitsUntilAResponseIsSent() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(0).entries(1).configure();
				HttpServer large = largeResponseServer();
				Socket socket = new Socket()) {
			startLargeResponse(system, large, socket);
			CompletableFuture<Integer> cutOff = stop(system);
			LocalSystem.await(() -> refuses(system));
			assertThat(readAll(socket).length()).isGreaterThan(LARGE_BYTES);
			assertThat(cutOff.join()).isZero();
		}
	}

	// The entry refuses a request by its head while the caller still sends the body. If
	// the connection is closed at once, the rest of the body causes a reset: a client
	// that is still writing sees the reset instead of the refusal, and cannot tell that
	// the request did not run.
	@Test
	void aRefusalReachesACallerThatStillSendsItsBody() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(5).entries(1).configure();
				Socket socket = connect(system.entry(0).callerPort())) {
			int port = system.entry(0).callerPort();
			async(() -> HttpTestClient.raw(port, draft("keeps the entry up", 4000)));
			LocalSystem.await(() -> inProgress(system) == 1);
			stop(system);
			LocalSystem.await(() -> refuses(system));
			String request = draft("x".repeat(9000), 1);
			send(socket, request.substring(0, 3000));
			String begin = new String(socket.getInputStream().readNBytes(8), StandardCharsets.ISO_8859_1);
			for (int from = 3000; from < 9000; from += 1000) {
				// If a piece causes a reset, sending the next piece fails.
				send(socket, request.substring(from, from + 1000));
				Thread.sleep(20);
			}
			assertThat(begin + readAll(socket)).startsWith("HTTP/1.1 503").contains("not-run").contains("stopping");
		}
	}

	// One draft runs for longer than the drain limit; another is queued. At the limit the
	// response of the first must show that it is incomplete, and that of the second that
	// it did not run.
	@Test
	void atTheDrainLimitEachCallerReceivesItsOutcome() {
		try (LocalSystem system = new LocalSystem().engines(5)
			.limits(ONE_DRAFT)
			.stopping(0, 1000)
			.entries(1)
			.configure()) {
			int port = system.entry(0).callerPort();
			CompletableFuture<String> runs = async(() -> HttpTestClient.raw(port, draft("runs", 4000)));
			LocalSystem.await(() -> inProgress(system) == 1);
			CompletableFuture<HttpTestClient.Response> waits = async(
					() -> HttpTestClient.draft(port, "key-1", "waits", 1, true));
			LocalSystem.await(() -> inProgress(system) == 2);
			CompletableFuture<Integer> cutOff = stop(system);
			assertThat(waits.join().outcome()).isEqualTo("not-run");
			assertThat(waits.join().body()).contains("stopping");
			assertThat(runs.join()).contains("\"whin-outcome\":\"unknown\"")
				.contains("stopping")
				.doesNotContain("[DONE]");
			assertThat(cutOff.join()).isPositive();
		}
	}

	// Guards against a stop that breaks off drafts which wait for a pipeline, or that
	// leaves
	// their callers without an outcome at its limit.
	@Test
	void aDraftThatWaitsForAPipelineReceivesItsOutcomeAtTheDrainLimit() {
		try (LocalSystem system = new LocalSystem().engines(5).stopping(0, 2000).entries(1).configure()) {
			int port = system.entry(0).callerPort();
			CompletableFuture<String> waits = async(() -> HttpTestClient.raw(port, draft("waits", 4000)));
			LocalSystem.await(() -> system.engines().values().stream().anyMatch((one) -> one.stepCount() > 5));
			for (String domain : List.of("poa-a", "poa-b", "cxs-a")) {
				system.killEngine("engine-" + domain + "-8-12");
			}
			CompletableFuture<Integer> cutOff = stop(system);
			assertThat(waits.join()).contains("\"whin-outcome\":\"unknown\"")
				.contains("stopping")
				.doesNotContain("[DONE]");
			assertThat(cutOff.join()).isOne();
		}
	}

	// Drafts take 0.75 s here. One runs and one is queued when the entry is ordered to
	// stop with a drain limit of 1 s: started after the first, the second would be cut
	// off. The first is held until the second has its response, so that it cannot end too
	// soon.
	@Test
	void aQueuedRequestThatCannotCompleteIsRefused() {
		try (LocalSystem system = new LocalSystem().engines(5)
			.limits(ONE_DRAFT)
			.stopping(0, 1000)
			.entries(1)
			.configure()) {
			int port = system.entry(0).callerPort();
			assertThat(HttpTestClient.draft(port, "key-1", "usual", 30, false).status()).isEqualTo(200);
			Runnable release = system.holdSteps();
			CompletableFuture<HttpTestClient.Response> runs = async(
					() -> HttpTestClient.draft(port, "key-1", "runs", 30, true));
			LocalSystem.await(() -> inProgress(system) == 1);
			CompletableFuture<HttpTestClient.Response> waits = async(
					() -> HttpTestClient.draft(port, "key-1", "waits", 30, true));
			LocalSystem.await(() -> inProgress(system) == 2);
			stop(system);
			assertThat(waits.join().outcome()).isEqualTo("not-run");
			assertThat(waits.join().body()).contains("stopping");
			release.run();
			runs.join();
		}
	}

	// The signal is sent while the process is suspended, 50 s before it resumes. The
	// notice of 60 s counts from the signal: counted from the resumption, the entry would
	// exit 50 s later than the supervisor expects, and be killed with all its requests.
	// An earlier suspension is unrelated to the signal.
	@Test
	void theNoticeOfASignalSentDuringASuspensionCountsFromBeforeTheSuspension() throws InterruptedException {
		SuspendableTicker ticker = new SuspendableTicker();
		try (LocalSystem system = new LocalSystem().ticker(ticker).stopping(60_000, 1000).entries(1)) {
			ticker.suspend(20_000);
			LocalSystem.await(ticker::runRecorded);
			ticker.suspendBeforeSignal(50_000);
			system.entry(0).stop();
			assertThat(ticker.sleptMs()).isPositive().isLessThanOrEqualTo(10_000);
		}
	}

	// The same, but notice and drain limit are over before the process resumes, with a
	// response still being sent to a slow reader. The response is cut off at once and not
	// a minute later.
	@Test
	void aStopHandledAfterItsDrainLimitDoesNotWait() throws Exception {
		SuspendableTicker ticker = new SuspendableTicker();
		try (LocalSystem system = new LocalSystem().ticker(ticker)
			.engines(0)
			.stopping(10_000, 60_000)
			.entries(1)
			.configure(); HttpServer large = largeResponseServer(); Socket socket = new Socket()) {
			startLargeResponse(system, large, socket);
			CompletableFuture<Integer> cutOff = async(() -> {
				ticker.suspendBeforeSignal(75_000);
				return stop(system.entry(0));
			});
			assertThat(cutOff.get(30, TimeUnit.SECONDS)).isOne();
			assertThat(ticker.sleptMs()).isZero();
		}
	}

	private static CompletableFuture<Integer> stop(LocalSystem system) {
		CompletableFuture<Integer> cutOff = async(() -> stop(system.entry(0)));
		LocalSystem.await(() -> HttpTestClient.get(system.entry(0).operatorPort(), "/readyz").status() != 200);
		return cutOff;
	}

	private static int stop(Entry entry) {
		try {
			return entry.stop();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static <T> CompletableFuture<T> async(Supplier<T> task) {
		CompletableFuture<T> result = new CompletableFuture<>();
		Thread.startVirtualThread(() -> {
			try {
				result.complete(task.get());
			}
			catch (RuntimeException ex) {
				result.completeExceptionally(ex);
			}
		});
		return result;
	}

	private static boolean refuses(LocalSystem system) {
		return HttpTestClient.draft(system.entry(0).callerPort(), "key-1", "x", 1, false).status() != 200;
	}

	private static int inProgress(LocalSystem system) {
		String status = HttpTestClient.get(system.entry(0).operatorPort(), "/status").body();
		return Integer.parseInt(status.replaceAll("(?s).*\"in_progress\":(\\d+).*", "$1"));
	}

	private static HttpServer largeResponseServer() throws InterruptedException {
		return HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0),
				(exchange) -> exchange.reply(new Reply(200, List.of(), new byte[LARGE_BYTES])));
	}

	// The caller reads the beginning of the response and nothing more.
	private static void startLargeResponse(LocalSystem system, HttpServer large, Socket socket) throws Exception {
		replaceBookingServers(system, large);
		socket.setReceiveBufferSize(4096);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), system.entry(0).callerPort()));
		send(socket, "GET /services/booking-api/large HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n\r\n");
		assertThat(socket.getInputStream().readNBytes(8)).asString().isEqualTo("HTTP/1.1");
	}

	private static void replaceBookingServers(LocalSystem system, HttpServer server) {
		String address = "127.0.0.1:" + server.port();
		for (String domain : List.of("poa-a", "poa-b", "cxs-a")) {
			system.store().putInstance(new Instance("booking-" + domain, "booking-api", address, domain, "", false));
		}
		LocalSystem.await(() -> HttpTestClient.get(system.entry(0).operatorPort(), "/upstreams")
			.body()
			.split(address + "\"", -1).length == 4);
	}

	private static Socket connect(int port) throws IOException {
		return new Socket(InetAddress.getLoopbackAddress(), port);
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

	private static String readAll(Socket socket) throws IOException {
		socket.setSoTimeout(20_000);
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	private static String booking(String slot) {
		return post("/services/booking-api/bookings", slot);
	}

	private static String draft(String prompt, int tokens) {
		return post("/v1/completions", HttpTestClient.draftBody(prompt, tokens, true));
	}

	private static String post(String path, String body) {
		return "POST " + path + " HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\ncontent-length: "
				+ body.length() + "\r\n\r\n" + body;
	}

}
